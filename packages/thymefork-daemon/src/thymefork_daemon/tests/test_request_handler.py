"""Tests of an owner's replies while the store is unavailable."""

from types import SimpleNamespace

import pytest

from thymefork_cells import effects as fx
from thymefork_cells.jobs.journal import Journal
from thymefork_daemon.owner.request_handler import RequestHandler

from .fakes import FakeMetrics

STORED, IN_FLIGHT, NEW = "stored", "on its way", "new"


class FakeIntake:
    """Store one job, have a second in flight, and record requests."""

    def __init__(self):
        self.asked = []

    def is_stored(self, job_id):
        return job_id == STORED

    def has_job(self, job_id):
        return job_id in (STORED, IN_FLIGHT)

    def read(self, respond, job_id, *, account_name):
        self.asked.append(("read", job_id))

    def count_pending(self, respond, queue):
        self.asked.append(("count", queue))

    def submit(self, respond, job_id, queue, data, *, account_name, now_ms):
        self.asked.append(("submit", job_id))

    def cancel(self, respond, job_id, *, account_name, now_ms):
        self.asked.append(("cancel", job_id))


def handle(kind, job_id, *, pump_says_away=False, is_certain=True):
    intake, metrics, replies = FakeIntake(), FakeMetrics(), []
    handler = RequestHandler(
        cell=SimpleNamespace(intake=intake, journal=Journal()),
        ownership=SimpleNamespace(is_certain=lambda: is_certain),
        pipeline=SimpleNamespace(is_store_unavailable=pump_says_away),
        metrics=metrics,
        timers=None,  # needed only with a caller's timeout
        apply_effects=lambda: None,
    )
    handler.handle(kind, "q", job_id, b"", replies.append)
    return intake.asked, metrics.counts, replies


@pytest.mark.parametrize("job_id", [STORED, IN_FLIGHT, NEW])
@pytest.mark.parametrize("kind", ["read", "submit", "cancel"])
def test_all_requests_are_handled_while_store_is_available(kind, job_id):
    asked, counts, replies = handle(kind, job_id)
    assert asked == [(kind, job_id)]
    assert not counts and not replies


@pytest.mark.parametrize(
    "unavailability", [{"pump_says_away": True}, {"is_certain": False}], ids=str
)
@pytest.mark.parametrize(
    "kind, job_id, decided",
    [
        ("read", STORED, True),
        ("read", IN_FLIGHT, False),
        ("read", NEW, False),
        ("submit", STORED, True),
        ("submit", IN_FLIGHT, True),
        ("submit", NEW, False),
        ("cancel", STORED, False),
        ("cancel", NEW, False),
    ],
)
def test_only_known_jobs_are_handled_while_store_is_unavailable(
    kind, job_id, decided, unavailability
):
    asked, counts, replies = handle(kind, job_id, **unavailability)
    assert asked == ([(kind, job_id)] if decided else [])
    if not decided:
        assert counts == [("refusals", "store_away")]
        assert replies[0].outcome is fx.Outcome.REFUSED
        assert replies[0].retry_after_ms > 0


def test_queue_is_counted_while_store_is_unavailable():
    asked, _, _ = handle("count", "", pump_says_away=True)
    assert asked == [("count", "q")]
