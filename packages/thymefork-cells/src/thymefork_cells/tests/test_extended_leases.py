"""Leases for a previous incarnation that a restarted worker takes late.

Guards against owners that restart tasks elsewhere while such a lease still lasts.
"""

import pytest

from thymefork_cells.specs import Bounds
from thymefork_cells.state import JobState
from thymefork_cells.workers.extended_leases import (
    EXTENDED_LEASE_KEY,
    MAX_COMMAND_DELAY_MS,
)

from .harness import job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
NEXT_JOB = "00000000000000bb"
RECORD = f"{EXTENDED_LEASE_KEY}w0"


ONE_PER_WORKER = {"count": 4, "cpu_milli": 8_000}


def restart_with_extended_lease(harness):
    """Restart the first worker and give it a lease for its last incarnation."""
    worker = harness.workers["w0"]
    harness.submit(JOB, job_spec({**ONE_PER_WORKER, "count": len(harness.workers)}))
    harness.run(300)
    tracked = harness.cell.context.workers["w0"]
    fence = tracked.fence(harness.epoch)
    deadline_clock_ms = tracked.clock_ms(harness.now) + 3_000.0
    harness.restart(worker, away_ms=50.0)
    while worker.is_unreachable:
        harness.run(1)
    worker.poll(fence, 0, deadline_clock_ms, harness.now)
    assert worker.lease_until_ms > harness.now + 5_000.0
    return worker


def replace_owner(harness):
    harness.is_owner_down = True
    harness.run(300)
    harness.take_over()


@pytest.mark.parametrize("owners", [1, 2])
def test_next_owners_wait_for_lease_of_unreachable_worker(make_harness, owners):
    """The other workers form a quorum, so usual leases would end soon."""
    harness = make_harness(workers=4)
    worker = restart_with_extended_lease(harness)
    harness.run(3_000)
    harness.submit(NEXT_JOB, job_spec(ONE_PER_WORKER))
    while not worker.running:
        harness.run(1)
    harness.disconnect_worker(worker, for_ms=20_000.0)
    for _ in range(owners):
        replace_owner(harness)
        harness.run(1_000)
    harness.run(worker.lease_until_ms - harness.now - 100.0)
    assert harness.runs_of("w0")
    harness.run(60_000)
    assert not tasks_run_twice(harness)
    assert harness.job(NEXT_JOB).visible_state is JobState.SUCCEEDED


def test_lease_record_is_stored_before_any_start(make_harness):
    harness = make_harness(workers=1)
    worker = restart_with_extended_lease(harness)
    starts = len(worker.starts)
    harness.submit(NEXT_JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    while len(worker.starts) == starts:
        assert harness.now < 5_000
        harness.run(1)
    assert RECORD in harness.store


def test_lease_record_is_stored_again_after_outage(make_harness):
    harness = make_harness(workers=1)
    restart_with_extended_lease(harness)
    harness.run_store_outage(400.0)
    assert RECORD not in harness.store
    harness.load_worker_list(harness.entries)
    harness.run(600)
    assert RECORD in harness.store


def test_lease_record_is_deleted_once_expired(make_harness):
    harness = make_harness(workers=1)
    restart_with_extended_lease(harness)
    harness.run(1_000)
    assert RECORD in harness.store
    harness.run(Bounds().max_hold_ms + 2_000)
    assert RECORD not in harness.store


@pytest.mark.parametrize("was_heard", [False, True])
def test_owner_that_first_meets_next_incarnation_expects_lease(make_harness, was_heard):
    """The previous owner ended before it noticed the worker's restart."""
    harness = make_harness(workers=1)
    (worker,) = harness.workers.values()
    worker.work_ms = 5_000.0
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(300)
    harness.restart(worker, away_ms=50.0)
    harness.run(10)
    replace_owner(harness)
    harness.run(300 if was_heard else 1)
    assert (RECORD in harness.store) is was_heard


@pytest.mark.parametrize(
    ("leased_ms_ago", "is_counted"),
    [(0.0, True), (2_000.0, True), (MAX_COMMAND_DELAY_MS, False)],
)
def test_answered_poll_does_not_rule_out_a_late_lease(
    make_harness, leased_ms_ago, is_counted
):
    """An unanswered lease may be delivered after newer polls were answered."""
    harness = make_harness(workers=1)
    harness.run(MAX_COMMAND_DELAY_MS)
    tracked = harness.cell.context.workers["w0"]
    tracked.lease_sent_ms = harness.now - leased_ms_ago
    tracked.answered_poll_ms = harness.now
    (worker,) = harness.workers.values()
    harness.restart(worker, away_ms=50.0)
    harness.run(400)
    assert (RECORD in harness.store) is is_counted


def test_reachable_worker_causes_no_delay(make_harness):
    """The next owner does not wait for a worker that it can reach."""
    harness = make_harness(workers=4)
    worker = restart_with_extended_lease(harness)
    harness.run(2_000)
    harness.submit(NEXT_JOB, job_spec(ONE_PER_WORKER))
    while not worker.running:
        harness.run(1)
    replace_owner(harness)
    harness.run(1_000)
    assert RECORD in harness.store
    assert harness.job(NEXT_JOB).visible_state is JobState.SUCCEEDED
    assert not tasks_run_twice(harness)
