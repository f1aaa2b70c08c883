"""Each guard is needed: a case that holds with it breaks without it."""

import pytest
from attrs import evolve

from thymefork_core.ledger import HallLedger, Start
from thymefork_core.node.owner.attempts import Attempts
from thymefork_core.node.owner.owned_workers import OwnedWorkers
from thymefork_core.node.owner.tracked import Tracked
from thymefork_core.node.work.intake import Intake

from .random_cases import run_case


def without_waiting_for_the_lease(patch):
    """Take an attempt for gone as soon as a report does not name it."""
    patch.setattr(Tracked, "is_gone", lambda self, measured_at_ms: True)


def without_counting_at_takeover(patch):
    """Start with an empty view of a worker that was taken over."""
    acquire = OwnedWorkers.acquire

    def forgetful(self, worker, *, claimed):
        attempts = acquire(self, worker, claimed=claimed)
        view = self.ctx.book.get(worker)
        for key in list(view.taken) if view else ():
            self.ctx.book.give_back(worker, key)
        return attempts

    patch.setattr(OwnedWorkers, "acquire", forgetful)


def _patch_fold(patch, change):
    fold = HallLedger._verdict

    def changed(self, record, entry):
        if isinstance(entry, Start):
            entry = change(self, entry)
        return fold(self, record, entry)

    patch.setattr(HallLedger, "_verdict", changed)


def without_one_open_attempt(patch):
    """Let a start count while another attempt of the task is open."""

    def reopen(ledger, entry):
        task = ledger.state.tasks.get(entry.work_id, {}).get(entry.task)
        if task is not None and task.open is not None:
            ledger._unindex(task.open)
            task.open = None
            task.attempts = entry.attempt - 1
        return entry

    _patch_fold(patch, reopen)


def without_doubting_retries(patch):
    """Refuse a retry as not run, whatever the first try did."""
    submit = Intake.submit

    def trusting(self, request_id, specs, *, retry=False):
        patch.setattr(Intake, "_may_be_retry", lambda self, spec: False)
        submit(self, request_id, specs, retry=False)

    patch.setattr(Intake, "submit", trusting)


def without_doubting_lost_answers(patch):
    """Call a start that got no answer never sent, and let it start elsewhere."""
    failed = Attempts.on_starts_failed

    def careless(self, message):
        failed(self, evolve(message, sent=False))

    patch.setattr(Attempts, "on_starts_failed", careless)


CASES = [
    (without_waiting_for_the_lease, 6),
    (without_counting_at_takeover, 2),
    (without_one_open_attempt, 95),
    (without_doubting_retries, 2),
    (without_doubting_lost_answers, 0),
]


@pytest.mark.parametrize(
    ("remove", "seed"), CASES, ids=lambda v: getattr(v, "__name__", str(v))
)
def test_case_breaks_without_its_guard(monkeypatch, remove, seed):
    run_case(seed)
    remove(monkeypatch)
    with pytest.raises(AssertionError):
        run_case(seed)
