"""Holds of tasks beside refusals, waits, gangs, late polls and late runs.

Guards against holds that are lost or too short, and against tasks that wait in vain.
"""

import pytest

from thymefork_cells import Refusal
from thymefork_cells.effects import PollWorker, StartRun
from thymefork_cells.specs import Bounds

from .delayed_start import DelayedStart
from .harness import job_spec
from .run_invariants import tasks_run_twice
from .test_delayed_starts import (
    JOB,
    LONG_LATENESS_MS,
    MAX_STALL_MS,
    NEXT_JOB,
    SHORT_LATENESS_MS,
    STEP,
    TASK,
    WORK_MS,
    assert_succeeds_once,
    submit_with_delayed_start,
)

OTHER_JOB = "00000000000000cc"
FILLING = {"count": 2, "cpu_milli": 8_000}
REFUSED_FOR_MS = 3_000.0


def delay_start(harness, lateness_ms, step=STEP):
    """Return the next start of the task's job, which will be late, once it is sent."""
    tasks = [f"{JOB}.0.0.{index}" for index in range(step["count"])]
    late = DelayedStart(harness=harness, tasks=tasks[-1:], lateness_ms=lateness_ms)
    while late.worker is None:
        harness.run(1)
        assert harness.now < 30_000.0
    late.refuse_later_runs()
    return late


def held(harness):
    return [
        start
        for step in harness.job(JOB).steps
        for task in step.tasks
        for start in task.delayed_starts
    ]


# Holds that are shortened by an earlier start ----------------------------------


# A refused start began the deadline that the starts without an answer share.
@pytest.mark.parametrize("refusal", [Refusal.UNWELL, Refusal.NO_ROOM])
def test_refused_starts_do_not_shorten_hold(make_harness, refusal):
    harness = make_harness(workers=2)
    until_ms = harness.now + REFUSED_FOR_MS
    harness.refusal_for = lambda effect: refusal if harness.now < until_ms else None
    harness.submit(JOB, job_spec(STEP))
    harness.run(REFUSED_FOR_MS)
    late = delay_start(harness, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    assert_succeeds_once(harness)


# The deadline of a start is over long before the task's next one is sent, which had to
# wait for capacity and not for the first.
def test_earlier_hold_does_not_shorten_next_after_wait_for_room(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms_of = {f"{OTHER_JOB}.0.0.{n}": 6_000.0 for n in range(2)}
    harness.command_delay_ms = lambda effect: (
        5_000.0 * (isinstance(effect, StartRun) and effect.run.task.name == TASK)
    )
    harness.submit(JOB, job_spec(STEP))
    harness.run(100)
    harness.submit(OTHER_JOB, job_spec(FILLING))
    harness.run(4_000)
    late = delay_start(harness, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS + WORK_MS)
    assert not tasks_run_twice(harness)


# Members of the first gang run were all confirmed, but no report told of progress.
def test_complete_gang_run_does_not_shorten_next_hold(make_harness):
    harness = make_harness(workers=4, max_attempts=4)
    harness.simulate_gangs(bounds=Bounds())
    for worker in harness.workers.values():
        worker.work_ms = 400_000.0
    gang = {"count": 2, "cpu_milli": 1_000, "gang": True}
    harness.submit(JOB, job_spec(gang))
    harness.run(2_400)
    assert all(run.is_live for run in harness.job(JOB).runs)
    member = next(one for one in harness.workers.values() if one.running)
    harness.restart(member, away_ms=20.0)
    late = delay_start(harness, SHORT_LATENESS_MS, gang)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS)
    assert not tasks_run_twice(harness)


# A run that ended between two polls was never listed as running, so its start counts as
# one that may still arrive.
def test_end_of_unanswered_start_confirms_it(make_harness):
    harness = make_harness(workers=2, max_attempts=3)
    for worker in harness.workers.values():
        worker.fails_all, worker.fail_after_ms = True, 1.0
    harness.is_start_answer_lost = lambda effect: effect.run.run_id == 1
    harness.submit(JOB, job_spec(STEP))
    (task,) = harness.job(JOB).steps[0].tasks
    while not task.failures:
        harness.run(1)
    harness.cell.run_cycle(harness.now)
    assert not task.delayed_starts


# Guards against a task twice after two starts in a row without an answer.
def test_second_start_without_answer_in_a_row_is_held(make_harness):
    harness = make_harness(workers=2)
    submit_with_delayed_start(harness, STEP, 100_000.0, later_runs_refused=False)
    late = delay_start(harness, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS + WORK_MS)
    assert not tasks_run_twice(harness)


# Other -------------------------------------------------------------------------


# No worker of this cell has been seen to restart before, so nothing was held.
@pytest.mark.parametrize("lateness_ms", [SHORT_LATENESS_MS, LONG_LATENESS_MS])
def test_first_restart_in_cell_does_not_begin_task_twice(make_harness, lateness_ms):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, lateness_ms)
    late.restart_worker_before_arrival()
    assert_succeeds_once(harness)


# A poll to the previous incarnation acknowledges the end of the delayed run, so that
# the owner never learns of it.
def test_late_poll_does_not_acknowledge_end_of_delayed_run(make_harness):
    harness = make_harness(workers=2)
    harness.submit(OTHER_JOB, job_spec({"count": 12, "cpu_milli": 1_000}))
    harness.run(2_000)
    background = job_spec({"count": 2, "cpu_milli": 7_000})
    for worker in harness.workers.values():
        worker.work_ms_of = {f"{NEXT_JOB}.0.0.{n}": 60_000.0 for n in range(2)}
    harness.submit(NEXT_JOB, background)
    harness.run(1_000)
    late = submit_with_delayed_start(harness, STEP, SHORT_LATENESS_MS)
    late.worker.work_ms = 20.0
    start_delay_ms = harness.command_delay_ms
    worker_id = late.worker.worker_id
    assert harness.cell.context.workers[worker_id].stored_end
    arrives_ms = late.arrives_ms
    late.run_until(late.sent_ms + 10.0)

    def delay_ms(effect):
        if isinstance(effect, PollWorker) and effect.worker.worker_id == worker_id:
            # Arrives after the delayed run has ended.
            return max(0.0, arrives_ms + 50.0 - harness.now)
        return start_delay_ms(effect)

    late.run_until(arrives_ms - 400.0)
    harness.command_delay_ms = delay_ms
    late.restart_worker_before_arrival(after_return_ms=1.0)
    assert late.has_begun
    harness.run(60.0)
    harness.command_delay_ms = start_delay_ms
    harness.run(MAX_STALL_MS + WORK_MS)
    assert not tasks_run_twice(harness)


# The arrived run is counted once on its worker and in its job's usage.
def test_arrived_run_is_counted_once(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.stop_duration_ms = 400.0
    late = submit_with_delayed_start(harness, STEP, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    harness.run(100)
    tracked = harness.cell.context.workers[late.worker.worker_id]
    assert list(tracked.runs) == [late.key]
    assert tracked.held_cpu_milli == 1_000
    harness.run(5_000)
    assert not tracked.held_cpu_milli
    assert not tasks_run_twice(harness)


# Each hold is released once, and polls end with it.
def test_nothing_is_left_of_holds(make_harness):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, LONG_LATENESS_MS)
    harness.run(10_000)
    assert not held(harness)
    assert not harness.cell.lifecycle.delayed_starts._starts
    assert harness.cell.context.usage_of("").cpu_milli == 0
    assert not harness.cell.context.workers[late.worker.worker_id].needs_answer


# The failure of a start that was not held is acknowledged, and not counted.
def test_failure_of_unheld_start_counts_as_attempt(make_harness):
    harness = make_harness(workers=2, max_attempts=2)
    step = {**STEP, "speculative": True}
    late = submit_with_delayed_start(harness, step, SHORT_LATENESS_MS)
    for worker in harness.workers.values():
        worker.fails_all = True
        worker.fail_after_ms = 1.0 if worker is late.worker else 1_500.0
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS + 4_000)
    runs = [run for worker in harness.workers.values() for run in worker.history]
    assert [run.how for run in runs] == ["failed", "failed"]


# The arrived run is its task's only one: a stop of it takes a serving task away.
def test_arrived_run_of_long_running_task_is_kept(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 1e9
    step = {**STEP, "long_running": True}
    late = submit_with_delayed_start(harness, step, SHORT_LATENESS_MS)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS)
    assert len(harness.starts_of(TASK)) == 1


# Its ends are being stored, so that its poll is put off, and the held task with it.
def test_hold_ends_in_time_while_ends_are_stored(make_harness):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, 100_000.0, later_runs_refused=False)
    worker = harness.cell.context.workers[late.worker.worker_id]
    late.run_until(late.sent_ms + 2_250.0)
    worker.is_storing_ends = True
    worker.poll_sent_ms = harness.now
    late.run_until(late.sent_ms + MAX_STALL_MS)
    assert harness.starts_of(TASK)
