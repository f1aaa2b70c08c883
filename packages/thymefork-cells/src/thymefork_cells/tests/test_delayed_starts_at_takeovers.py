"""Delayed starts across new owners and at workers that fall silent.

Guards against holds that are lost or too short, and against tasks that wait in vain.
"""

import orjson
import pytest
from attrs import evolve

from thymefork_cells.jobs.codec import PROGRESS_KEY
from thymefork_cells.state import JobState

from . import harness as harness_module
from .harness import job_spec
from .run_invariants import tasks_run_twice
from .test_delayed_start_holds import delay_start, held
from .test_delayed_starts import (
    JOB,
    LONG_LATENESS_MS,
    MAX_STALL_MS,
    SHORT_LATENESS_MS,
    STEP,
    assert_succeeds_once,
    replace_owner,
    submit_with_delayed_start,
)

# New owners --------------------------------------------------------------------


# The age of a start counts from the decision, but it was sent once the store had taken
# the intent.
def test_slow_append_before_start_does_not_shorten_hold_of_next_owner(make_harness):
    harness = make_harness(workers=2)
    harness.submit(JOB, job_spec(STEP))
    harness.append_latency_ms = lambda: 1_900.0
    late = delay_start(harness, LONG_LATENESS_MS)
    harness.append_latency_ms = lambda: 10.0
    harness.run(20)
    replace_owner(harness, after_ms=100.0)
    late.restart_worker_before_arrival()
    assert_succeeds_once(harness)


def run_delayed_start_across_owners(harness, monkeypatch, ahead_ms, is_released):
    """Let a start arrive under an owner whose clock differs from the sender's."""
    late = submit_with_delayed_start(harness, STEP, LONG_LATENESS_MS)
    harness.run(450 if is_released else 20)
    epoch_ms = harness_module.START_EPOCH_MS + ahead_ms
    monkeypatch.setattr(harness_module, "START_EPOCH_MS", epoch_ms)
    replace_owner(harness, after_ms=100.0)
    late.restart_worker_before_arrival()
    assert_succeeds_once(harness)
    assert not held(harness)


# The next owner's clock is behind.
@pytest.mark.parametrize("behind_ms", [0.0, 5_000.0])
@pytest.mark.parametrize("is_released", [False, True])
def test_clock_behind_does_not_shorten_hold(
    make_harness, monkeypatch, behind_ms, is_released
):
    harness = make_harness(workers=2)
    run_delayed_start_across_owners(harness, monkeypatch, -behind_ms, is_released)


# The next owner's clock is ahead.
@pytest.mark.parametrize("ahead_ms", [500.0, 5_000.0])
@pytest.mark.parametrize("is_released", [False, True])
def test_clock_ahead_does_not_shorten_hold(
    make_harness, monkeypatch, ahead_ms, is_released
):
    harness = make_harness(workers=2)
    run_delayed_start_across_owners(harness, monkeypatch, ahead_ms, is_released)


# The next owner doesn't know the held start's worker, whose entry has lapsed, and takes
# the start for one that can't arrive.
def test_worker_unlisted_at_takeover_is_awaited(make_harness):
    harness = make_harness(workers=3)
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    late = submit_with_delayed_start(harness, STEP, 1_500.0)
    harness.run(450)
    assert held(harness)
    harness.is_owner_down = True
    late.restart_worker_before_arrival()
    assert late.has_begun
    entries = harness.entries
    harness.entries = [e for e in entries if e.worker_id != late.worker.worker_id]
    harness.run(300)
    harness.take_over()
    harness.run(1_500)
    harness.publish_worker_list(
        [
            evolve(e, born_epoch_ms=harness.workers[e.worker_id].born_epoch_ms)
            for e in entries
        ]
    )
    harness.run(8_000)
    assert not tasks_run_twice(harness)


# The record still names a start before the one that was confirmed.
def test_confirmed_start_is_stored_as_such(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    submit_with_delayed_start(harness, STEP, 100_000.0, later_runs_refused=False)
    harness.run(10_000)
    (task,) = harness.job(JOB).steps[0].tasks
    assert harness.running() and not task.delayed_starts
    harness.is_owner_down = True
    (second,) = [w for w in harness.workers.values() if w.running]
    harness.restart(second, away_ms=20.0)
    harness.run(300)
    harness.take_over()
    late = delay_start(harness, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS)
    assert not tasks_run_twice(harness)


# An owner of the release before stores no holds and keeps none that it finds.
def test_records_without_holds_are_read(make_harness):
    harness = make_harness(workers=2)
    submit_with_delayed_start(harness, STEP, LONG_LATENESS_MS)
    harness.run(450)
    assert held(harness)
    harness.is_owner_down = True
    key = PROGRESS_KEY + JOB
    state, ((position, done, rows, *failures),) = orjson.loads(harness.store[key])
    assert [len(row) for row in rows] == [10]
    rows = [row[:9] for row in rows]
    harness.store[key] = orjson.dumps([state, [[position, done, rows, *failures]]])
    harness.take_over()
    assert not held(harness)
    assert_succeeds_once(harness)


# Silent workers ----------------------------------------------------------------


def run_silent_next_incarnation(harness, silent_ms, entry_delay_ms):
    """Let a start arrive at an incarnation that the owner can't reach.

    It takes the start's lease for as long as a lease may last: the deadline was meant
    for another clock.
    """
    harness.run(12_000)
    for worker in harness.workers.values():
        worker.work_ms = 9_000.0
    harness.submit(JOB, job_spec(STEP))
    late = delay_start(harness, LONG_LATENESS_MS)
    late.run_until(late.arrives_ms - 300.0)
    harness.partitions.out_of_reach[harness.epoch] = (late.worker.worker_id,)
    late.run_until(late.arrives_ms - 220.0)
    harness.restart(late.worker, away_ms=20.0, entry_delay_ms=entry_delay_ms)
    late.run_until(late.arrives_ms + 1.0)
    assert late.has_begun
    harness.run(silent_ms)
    harness.partitions.out_of_reach.clear()
    harness.run(20_000)
    assert not tasks_run_twice(harness)


# Its entry tells of the restart.
@pytest.mark.parametrize("silent_ms", [1_000.0, 3_000.0, 8_000.0])
def test_silent_listed_incarnation_is_awaited(make_harness, silent_ms):
    run_silent_next_incarnation(make_harness(workers=2), silent_ms, 0.0)


# Nothing tells of the restart.
@pytest.mark.parametrize("silent_ms", [1_000.0, 3_000.0, 8_000.0])
def test_silent_unlisted_incarnation_is_awaited(make_harness, silent_ms):
    run_silent_next_incarnation(make_harness(workers=2), silent_ms, 10_000.0)


# Each of three incarnations in a row has answered the owner before it restarted.
@pytest.mark.parametrize("lateness_ms", [1_500.0, LONG_LATENESS_MS])
def test_start_does_not_run_after_three_restarts(
    make_harness,
    lateness_ms,
):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, lateness_ms)
    for _ in range(3):
        harness.run(250)
        late.restart_worker()
    late.restart_worker_before_arrival()
    assert_succeeds_once(harness)


# Another id at the address, told late of an incarnation that is over, made the owner
# forget the next one, with its runs.
def test_late_answer_about_over_incarnation_keeps_next(make_harness):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, 100_000.0, later_runs_refused=False)
    over = harness.cell.context.workers[late.worker.worker_id]
    late.restart_worker()
    harness.run(1)
    assert over.is_over and harness.runs_of(late.worker.worker_id)
    harness.cell.on_other_incarnation(over, now_ms=harness.now)
    assert late.worker.worker_id in harness.cell.context.workers
    harness.run(12_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
