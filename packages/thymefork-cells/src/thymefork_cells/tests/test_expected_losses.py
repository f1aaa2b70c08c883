"""Advice for tasks whose run on a silent worker is about to be given up."""

import pytest

from thymefork_cells.advice import requester

from .harness import job_spec

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
# The call takes 700 ms, longer than a cycle or a review.
POLICY = {"decision_ms": 700.0, "per_worker_ms": 0.1, "valid_ms": 2_500.0}
# A review each 100 ms, an append, and the start.
START_MS = 150.0


@pytest.fixture
def harness(make_harness):
    """Return a harness with one run, whose worker is named `first`."""
    harness = make_harness(workers=4, advice=POLICY)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(4_000)
    ((first, _, _),) = harness.starts_of(TASK)
    harness.first = harness.workers[first]
    return harness


# The advice service was asked only once the run was given up, another 0.7 s.
def test_task_of_a_silent_worker_starts_as_soon_as_its_leases_are_over(harness):
    harness.first.is_unreachable = True
    harness.run(1_000)
    until_ms = harness.cell.context.workers[harness.first.worker_id].runs_until_ms
    harness.run(8_000)
    _, (_, _, second_ms) = harness.starts_of(TASK)
    assert until_ms < second_ms < until_ms + START_MS
    assert len(harness.advice_requests) == 2


def test_no_advice_is_asked_for_a_worker_that_answers_again(harness):
    harness.disconnect_worker(harness.first, for_ms=300)
    harness.run(8_000)
    assert len(harness.advice_requests) == 1
    assert len(harness.starts_of(TASK)) == 1


def test_task_starts_soon_after_a_takeover_beside_a_silent_worker(harness):
    harness.is_owner_down = True
    harness.first.end_incarnation(harness.now)
    harness.take_over()
    harness.run(300)
    until_ms = harness.cell.context.workers[harness.first.worker_id].runs_until_ms
    harness.run(8_000)
    second_ms = max(at_ms for _, _, at_ms in harness.starts_of(TASK))
    assert until_ms < second_ms < until_ms + START_MS


def test_done_task_needs_no_advice(make_harness):
    harness = make_harness(workers=2, advice=POLICY)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(2_500)
    asked = len(harness.advice_requests)
    for worker in harness.workers.values():
        worker.is_unreachable = True
    harness.run(8_000)
    assert len(harness.advice_requests) == asked


# Half of an owner's time went to it while 40 of 80 workers were silent.
def test_losses_are_not_expected_where_no_queue_has_advice(make_harness, monkeypatch):
    calls = []
    monkeypatch.setattr(
        requester, "expected_losses", lambda workers: calls.append(1) or {}
    )
    harness = make_harness(workers=4)
    harness.run(300)
    assert not calls
