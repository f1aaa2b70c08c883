"""Isolation of crash suspects, and clearing of tasks that are not to blame."""

import pytest

from thymefork_cells import CommandAnswer, Refusal
from thymefork_cells.state import JobState, WorkerLoss
from thymefork_cells.workers.crash_evidence import (
    MAX_CLEARING_TIME_MS,
    MIN_CLEARING_TIME_MS,
)

from .harness import job_spec

CRASHING = "00000000000000aa"
FIRST_TASK = f"{CRASHING}.0.0.0"
INNOCENT = "00000000000000bb"
THREE_HALLS = {"hall": lambda number: f"hall-{number % 3}"}


def crash_by(*tasks, after_ms=10.0):
    return lambda task: after_ms if task in tasks else None


def set_work_ms(harness, work_ms):
    for worker in harness.workers.values():
        worker.work_ms = work_ms


def losses(harness, job_id=INNOCENT):
    """Return the worker losses of a job's tasks that have any."""
    steps = harness.job(job_id).steps
    return [task.losses for step in steps for task in step.tasks if task.losses]


def crash_where(harness, job_id):
    """Crash a worker that runs a task of a job."""
    worker = next(
        worker
        for worker in harness.workers.values()
        if any(task.startswith(job_id) for task, _ in worker.running)
    )
    harness.crash(worker)


def reachable(harness):
    return [worker for worker in harness.workers.values() if not worker.is_unreachable]


# Tasks beside crashing ones -------------------------------------------------------


@pytest.mark.parametrize("crashing", [1, 3, 6])
def test_jobs_beside_crashing_ones_succeed(make_harness, crashing):
    harness = make_harness(workers=18, **THREE_HALLS)
    crashing_jobs = [f"{number:016x}" for number in range(1, crashing + 1)]
    other_jobs = [f"{number:016x}" for number in range(100, 130)]
    harness.crashes_after_ms = crash_by(*(f"{job}.0.0.0" for job in crashing_jobs))
    for number, job in enumerate(other_jobs):
        harness.submit(job, job_spec({"count": 6, "cpu_milli": 500}))
        if number < crashing:
            harness.submit(
                crashing_jobs[number], job_spec({"count": 3, "cpu_milli": 500})
            )
        harness.run(200)
    harness.run(40_000)
    assert {harness.job(job).visible_state for job in other_jobs} == {
        JobState.SUCCEEDED
    }
    assert {harness.job(job).visible_state for job in crashing_jobs} == {
        JobState.FAILED
    }


def test_long_running_tasks_beside_crashing_ones_go_on(make_harness):
    harness = make_harness(workers=12, **THREE_HALLS)
    long_running_step = {"count": 8, "cpu_milli": 1_000, "long_running": True}
    set_work_ms(harness, 1e9)
    harness.submit(INNOCENT, job_spec(long_running_step))
    harness.run(1_000)
    crashing_jobs = [f"{number:016x}" for number in range(1, 6)]
    harness.crashes_after_ms = crash_by(*(f"{job}.0.0.0" for job in crashing_jobs))
    for job in crashing_jobs:
        harness.submit(job, job_spec({"count": 2, "cpu_milli": 500}))
        harness.run(1_700)
    harness.run(40_000)
    assert {harness.job(job).visible_state for job in crashing_jobs} == {
        JobState.FAILED
    }
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING
    running_tasks = [task for task, _ in harness.running() if task.startswith(INNOCENT)]
    assert len(running_tasks) == 8


def test_third_crash_affects_no_other_task(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 1, "cpu_milli": 500}))
    for number in range(100, 300):  # keeps all workers busy
        harness.submit(f"{number:016x}", job_spec({"count": 6, "cpu_milli": 900}))
        harness.run(100)
    crashes = [crash.tasks for crash in harness.crashes if FIRST_TASK in crash.tasks]
    assert len(crashes) == 3
    assert len(crashes[0]) > 1
    assert crashes[2] == {FIRST_TASK}


def test_first_loss_moves_task_to_least_busy_worker(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 60_000.0)
    for number in range(100, 104):
        harness.submit(f"{number:016x}", job_spec({"count": 4, "cpu_milli": 1_500}))
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(4_500)
    busy = [len(crash.tasks) for crash in harness.crashes]
    assert len(busy) == 2
    assert busy[1] == 1 <= busy[0]


# Where a crash suspect runs ----------------------------------------------------------


@pytest.mark.parametrize("gang", [False, True])
def test_crash_suspect_runs_in_isolation(make_harness, gang):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 30_000.0)
    harness.submit(INNOCENT, job_spec({"count": 2, "cpu_milli": 500, "gang": gang}))
    for _ in range(2):
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
    isolation_ids = {
        worker.worker_id
        for worker in harness.workers.values()
        if any(task.startswith(INNOCENT) for task, _ in worker.running)
    }
    assert isolation_ids
    for number in range(100, 110):  # more than fit on the other workers
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 7_000}))
    harness.run(1_000)
    for worker_id in isolation_ids:
        jobs = {task.split(".")[0] for task, _ in harness.workers[worker_id].running}
        assert jobs == {INNOCENT}


def test_last_attempt_is_isolated_despite_unlike_losses(make_harness):
    """Guards against failing a job for crashes that other tasks caused."""
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 30_000.0)
    for number in range(100, 104):
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(200)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    (task,) = harness.job(INNOCENT).steps[0].tasks
    for worker_id, after_ms in (("x", 1_013), ("y", 3_835), ("z", 821)):
        task.losses[worker_id] = WorkerLoss(
            worker_id=worker_id, after_ms=after_ms, is_certain=True
        )
    harness.run(1_500)
    (worker,) = [run.worker for run in task.runs]
    assert not worker.runs_of_others(harness.job(INNOCENT))
    assert not worker.admits(harness.job(f"{100:016x}"), harness.now)


# The next owner placed other jobs beside a crash suspect, and its crash took them down.
def test_isolation_outlasts_a_takeover(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 30_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for _ in range(2):
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
    harness.is_owner_down = True
    harness.run(300)
    harness.take_over()
    for number in range(100, 110):  # more than fit on the other workers
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 7_000}))
    harness.run(1_000)
    (worker,) = [
        worker
        for worker in harness.workers.values()
        if any(task.startswith(INNOCENT) for task, _ in worker.running)
    ]
    assert {task.split(".")[0] for task, _ in worker.running} == {INNOCENT}


def test_crash_suspect_runs_soon_without_empty_worker(make_harness):
    harness = make_harness(workers=4, cpu_milli=4_000)
    set_work_ms(harness, 1e9)
    long_running_step = {"count": 12, "cpu_milli": 1_000, "long_running": True}
    harness.submit("00000000000000cc", job_spec(long_running_step))
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(1_000)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    task.losses = {
        name: WorkerLoss(worker_id=name, after_ms=10, is_certain=True) for name in "xy"
    }
    crash_where(harness, INNOCENT)
    task.losses.pop("y")
    harness.run(3_300)  # until the lease expires
    harness.run(1_500)
    assert any(name == task.name for name, _ in harness.running())


def test_task_waits_for_return_of_third_worker(make_harness):
    harness = make_harness(workers=9, **THREE_HALLS)
    harness.return_delay_ms = 3_700.0  # after the leases expire
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(30_000)
    assert len(harness.starts_of(FIRST_TASK)) == 3
    assert harness.job(CRASHING).visible_state is JobState.FAILED


def test_no_third_copy_after_two_silent_workers(make_harness):
    harness = make_harness(workers=9, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(
        CRASHING, job_spec({"count": 1, "cpu_milli": 500, "speculative": True})
    )
    harness.run(2_500)
    assert len(harness.starts_of(FIRST_TASK)) == 2


# A task with four certain losses that chance may explain waited for news for good.
def test_task_with_certain_losses_waits_for_no_news(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 30_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(100)
    (task,) = harness.job(INNOCENT).steps[0].tasks
    for worker_id in "xyz":
        task.losses[worker_id] = WorkerLoss(
            worker_id=worker_id, after_ms=None, is_certain=True
        )
    for number in range(200):  # workers crash often
        harness.cell.losses._crash_rate.record(("other", number), harness.now)
    crash_where(harness, INNOCENT)
    harness.run(8_000)
    assert len(task.losses) == 4
    assert any(name == task.name for name, _ in harness.running())


# Losses that do not count --------------------------------------------------


def test_loss_is_cancelled_when_worker_reconnects(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for _ in range(6):
        harness.run(1_000)
        unreachable = next(
            worker for worker in harness.workers.values() if worker.running
        )
        unreachable.is_unreachable = True
        harness.run(3_600)
        assert [len(found) for found in losses(harness)] == [1]
        unreachable.is_unreachable = False
        harness.run(600)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_planned_worker_removal_is_no_loss(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for _ in range(3):
        harness.run(1_000)
        leaves = next(worker for worker in reachable(harness) if worker.running)
        others = [
            entry for entry in harness.entries if entry.worker_id != leaves.worker_id
        ]
        harness.load_worker_list(others)
        harness.run(800)
        leaves.is_unreachable = True
        harness.run(4_200)
        assert len(harness.starts_of(f"{INNOCENT}.0.0.0")) > 1
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_loss_is_certain_once_the_machine_restarts(
    make_harness,
):
    harness = make_harness(workers=6, **THREE_HALLS)
    harness.return_delay_ms = 4_500.0
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(1_000)
    crash_where(harness, INNOCENT)
    for wait_ms, is_certain in ((3_700, False), (1_500, True)):
        harness.run(wait_ms)
        (found,) = losses(harness)
        assert [loss.is_certain for loss in found.values()] == [is_certain]


def test_start_refused_by_other_incarnation_is_no_loss(harness):
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(30)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    (run,) = task.runs
    answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
    harness.cell.on_start_answer(run, answer, now_ms=harness.now)
    assert not task.losses
    assert run not in task.runs


def test_longer_run_clears_its_task(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    # The second run is lost after a longer time, so its clearing takes longer, too.
    for running_ms in (MIN_CLEARING_TIME_MS, 23_000.0):
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
        assert losses(harness)
        harness.run(running_ms + 3_000)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_long_run_is_not_blamed(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 1e9)
    long_running_step = {"count": 1, "cpu_milli": 500, "long_running": True}
    harness.submit(INNOCENT, job_spec(long_running_step))
    for _ in range(5):
        harness.run(MAX_CLEARING_TIME_MS + 5_000)
        crash_where(harness, INNOCENT)
        harness.run(4_000)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_losses_are_kept_across_takeover(make_harness):
    harness = make_harness(workers=9, **THREE_HALLS)
    set_work_ms(harness, 60_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for _ in range(2):
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
    before = losses(harness)
    harness.is_owner_down = True
    harness.run(500)
    harness.take_over()
    assert losses(harness) == before
    assert len(before[0]) == 2


def test_run_with_unknown_start_clears_nothing(harness):
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    task.losses["w"] = WorkerLoss(worker_id="w", after_ms=7, is_certain=True)
    task.runs[0].began_ms = 0.0
    harness.cell.losses.on_run_reported(task.runs[0], harness.now)
    assert task.losses


def test_crashed_workers_are_not_awaited(make_harness):
    harness = make_harness(workers=12, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 3, "cpu_milli": 500}))
    harness.run(40_000)
    assert harness.job(CRASHING).visible_state is JobState.FAILED
    assert not harness.cell.losses.unresolved_worker_count
