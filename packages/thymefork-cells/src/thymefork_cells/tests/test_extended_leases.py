"""A lease for the life before, taken late by a new one, is counted on by each owner.

What was seen, on virtual time: a worker starts again under its id while a start, or a
look that renews leases, is under way. The new life carries it out before anybody has
looked at it, and holds what runs there for as long as a worker does at most. Its owner
counts on that; the next one, which could not reach the worker, counted on a usual
lease, and ran tasks again whose ends the worker then told.
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


ONE_EACH = {"count": 4, "cpu_milli": 8_000}


def restart_under_a_late_lease(harness):
    """Let the first worker's next life take a lease for the one before."""
    worker = harness.workers["w0"]
    harness.submit(JOB, job_spec({**ONE_EACH, "count": len(harness.workers)}))
    harness.run(300)
    followed = harness.cell.context.workers["w0"]
    fence = followed.fence(harness.epoch)
    deadline_clock_ms = followed.clock_ms(harness.now) + 3_000.0
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
def test_each_next_owner_waits_for_the_lease_of_a_worker_out_of_reach(
    make_harness, owners
):
    """The others answer it, so the leases of its predecessor count as over soon."""
    harness = make_harness(workers=4)
    worker = restart_under_a_late_lease(harness)
    harness.run(3_000)
    harness.submit(NEXT_JOB, job_spec(ONE_EACH))
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


def test_nothing_starts_there_before_it_is_stored(make_harness):
    harness = make_harness(workers=1)
    worker = restart_under_a_late_lease(harness)
    starts = len(worker.starts)
    harness.submit(NEXT_JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    while len(worker.starts) == starts:
        assert harness.now < 5_000
        harness.run(1)
    assert RECORD in harness.store


def test_it_is_stored_once_more_where_the_store_turned_it_away(make_harness):
    harness = make_harness(workers=1)
    restart_under_a_late_lease(harness)
    harness.run_store_outage(400.0)
    assert RECORD not in harness.store
    harness.load_worker_list(harness.entries)
    harness.run(600)
    assert RECORD in harness.store


def test_it_is_forgotten_once_it_is_over(make_harness):
    harness = make_harness(workers=1)
    restart_under_a_late_lease(harness)
    harness.run(1_000)
    assert RECORD in harness.store
    harness.run(Bounds().max_hold_ms + 2_000)
    assert RECORD not in harness.store


@pytest.mark.parametrize("was_heard", [False, True])
def test_a_new_owner_that_meets_the_next_life_first_counts_on_it(
    make_harness, was_heard
):
    """Its predecessor ended before it knew that the worker had started again."""
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
def test_an_answered_look_after_a_lease_tells_nothing_of_it(
    make_harness, leased_ms_ago, is_counted
):
    """A lease without an answer may come late, after newer looks were answered."""
    harness = make_harness(workers=1)
    harness.run(MAX_COMMAND_DELAY_MS)
    followed = harness.cell.context.workers["w0"]
    followed.lease_sent_ms = harness.now - leased_ms_ago
    followed.answered_poll_ms = harness.now
    (worker,) = harness.workers.values()
    harness.restart(worker, away_ms=50.0)
    harness.run(400)
    assert (RECORD in harness.store) is is_counted


def test_a_worker_that_answers_costs_its_callers_nothing(make_harness):
    """A new owner waits for none that it can reach."""
    harness = make_harness(workers=4)
    worker = restart_under_a_late_lease(harness)
    harness.run(2_000)
    harness.submit(NEXT_JOB, job_spec(ONE_EACH))
    while not worker.running:
        harness.run(1)
    replace_owner(harness)
    harness.run(1_000)
    assert RECORD in harness.store
    assert harness.job(NEXT_JOB).visible_state is JobState.SUCCEEDED
    assert not tasks_run_twice(harness)
