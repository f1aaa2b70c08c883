"""Tasks that merely stood beside one that crashes workers, and where suspects run."""

import pytest

from thymefork_cells import CommandAnswer, Refusal
from thymefork_cells.state import JobState, WorkerLoss
from thymefork_cells.workers.worker_losses import (
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
    """Return the losses of a job's tasks, the ones without any left out."""
    steps = harness.job(job_id).steps
    return [task.losses for step in steps for task in step.tasks if task.losses]


def crash_where(harness, job_id):
    """Crash a worker that runs something of a job."""
    worker = next(
        worker
        for worker in harness.workers.values()
        if any(task.startswith(job_id) for task, _ in worker.running)
    )
    harness.crash(worker)


def reachable(harness):
    return [worker for worker in harness.workers.values() if not worker.is_unreachable]


# Those that stood beside -------------------------------------------------------


@pytest.mark.parametrize("crashing", [1, 3, 6])
def test_jobs_beside_crashing_ones_all_end_well(make_harness, crashing):
    harness = make_harness(workers=18, **THREE_HALLS)
    bad = [f"{number:016x}" for number in range(1, crashing + 1)]
    good = [f"{number:016x}" for number in range(100, 130)]
    harness.crashes_after_ms = crash_by(*(f"{job}.0.0.0" for job in bad))
    for number, job in enumerate(good):
        harness.submit(job, job_spec({"count": 6, "cpu_milli": 500}))
        if number < crashing:
            harness.submit(bad[number], job_spec({"count": 3, "cpu_milli": 500}))
        harness.run(200)
    harness.run(40_000)
    assert {harness.job(job).visible_state for job in good} == {JobState.SUCCEEDED}
    assert {harness.job(job).visible_state for job in bad} == {JobState.FAILED}


def test_lasting_tasks_beside_crashing_ones_go_on(make_harness):
    harness = make_harness(workers=12, **THREE_HALLS)
    lasting = {"count": 8, "cpu_milli": 1_000, "long_running": True}
    set_work_ms(harness, 1e9)
    harness.submit(INNOCENT, job_spec(lasting))
    harness.run(1_000)
    bad = [f"{number:016x}" for number in range(1, 6)]
    harness.crashes_after_ms = crash_by(*(f"{job}.0.0.0" for job in bad))
    for job in bad:
        harness.submit(job, job_spec({"count": 2, "cpu_milli": 500}))
        harness.run(1_700)
    harness.run(40_000)
    assert {harness.job(job).visible_state for job in bad} == {JobState.FAILED}
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING
    at_work = [task for task, _ in harness.running() if task.startswith(INNOCENT)]
    assert len(at_work) == 8


def test_a_task_that_cost_two_workers_costs_nobody_else_a_third(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 1, "cpu_milli": 500}))
    for number in range(100, 300):  # no worker is ever empty by itself
        harness.submit(f"{number:016x}", job_spec({"count": 6, "cpu_milli": 900}))
        harness.run(100)
    crashes = [crash.tasks for crash in harness.crashes if FIRST_TASK in crash.tasks]
    assert len(crashes) == 3
    assert len(crashes[0]) > 1
    assert crashes[2] == {FIRST_TASK}


def test_the_first_loss_is_followed_by_a_start_where_least_runs(make_harness):
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


# Where a suspect runs ----------------------------------------------------------


@pytest.mark.parametrize("gang", [False, True])
def test_a_suspect_runs_apart_while_it_is_tried(make_harness, gang):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 30_000.0)
    harness.submit(INNOCENT, job_spec({"count": 2, "cpu_milli": 500, "gang": gang}))
    for _ in range(2):
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
    tried = {
        worker.worker_id
        for worker in harness.workers.values()
        if any(task.startswith(INNOCENT) for task, _ in worker.running)
    }
    assert tried
    for number in range(100, 110):  # more than the other workers hold
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 7_000}))
    harness.run(1_000)
    for worker_id in tried:
        jobs = {task.split(".")[0] for task, _ in harness.workers[worker_id].running}
        assert jobs == {INNOCENT}


def test_the_run_that_decides_is_apart_though_the_losses_are_unlike(make_harness):
    """From the soak: a job stood beside four crashes, and was given up for them."""
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


def test_a_suspect_runs_soon_though_no_worker_is_empty(make_harness):
    harness = make_harness(workers=4, cpu_milli=4_000)
    set_work_ms(harness, 1e9)
    lasting = {"count": 12, "cpu_milli": 1_000, "long_running": True}
    harness.submit("00000000000000cc", job_spec(lasting))
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(1_000)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    task.losses = {
        name: WorkerLoss(worker_id=name, after_ms=10, is_certain=True) for name in "xy"
    }
    crash_where(harness, INNOCENT)
    task.losses.pop("y")
    harness.run(3_300)  # until its lease is over
    harness.run(1_500)
    assert any(name == task.name for name, _ in harness.running())


def test_a_task_waits_for_word_of_the_third_worker(make_harness):
    harness = make_harness(workers=9, **THREE_HALLS)
    harness.return_delay_ms = 3_700.0  # later than the leases are over
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(30_000)
    assert len(harness.starts_of(FIRST_TASK)) == 3
    assert harness.job(CRASHING).visible_state is JobState.FAILED


def test_copies_stop_once_two_workers_of_a_task_are_silent(make_harness):
    harness = make_harness(workers=9, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(
        CRASHING, job_spec({"count": 1, "cpu_milli": 500, "speculative": True})
    )
    harness.run(2_500)
    assert len(harness.starts_of(FIRST_TASK)) == 2


# What is no loss, or is taken back --------------------------------------------------


def test_a_worker_that_was_merely_cut_off_is_taken_back(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for _ in range(6):
        harness.run(1_000)
        is_unreachable = next(
            worker for worker in harness.workers.values() if worker.running
        )
        is_unreachable.is_unreachable = True
        harness.run(3_600)
        assert [len(found) for found in losses(harness)] == [1]
        is_unreachable.is_unreachable = False
        harness.run(600)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_a_worker_that_leaves_is_no_loss(make_harness):
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


def test_a_silent_worker_is_known_to_have_crashed_once_its_machine_is_back(
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


def test_a_start_that_another_life_refuses_is_no_loss(harness):
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(30)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    (run,) = task.runs
    answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
    harness.cell.on_start_answer(run, answer, now_ms=harness.now)
    assert not task.losses
    assert run not in task.runs


def test_a_run_that_outlives_the_lost_ones_clears_its_task(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 120_000.0)
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    for proof_ms in (MIN_CLEARING_TIME_MS, 23_000.0):  # the second was at work for 11 s
        harness.run(1_000)
        crash_where(harness, INNOCENT)
        harness.run(3_700)
        assert losses(harness)
        harness.run(proof_ms + 3_000)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_a_run_that_was_long_at_work_is_not_blamed(make_harness):
    harness = make_harness(workers=6, **THREE_HALLS)
    set_work_ms(harness, 1e9)
    lasting = {"count": 1, "cpu_milli": 500, "long_running": True}
    harness.submit(INNOCENT, job_spec(lasting))
    for _ in range(5):
        harness.run(MAX_CLEARING_TIME_MS + 5_000)
        crash_where(harness, INNOCENT)
        harness.run(4_000)
        assert not losses(harness)
    assert harness.job(INNOCENT).visible_state is JobState.RUNNING


def test_losses_count_at_once_under_the_next_owner(make_harness):
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


def test_a_run_whose_start_was_not_seen_clears_nothing(harness):
    harness.submit(INNOCENT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    task = harness.job(INNOCENT).steps[0].tasks[0]
    task.losses["w"] = WorkerLoss(worker_id="w", after_ms=7, is_certain=True)
    task.runs[0].began_ms = 0.0
    harness.cell.losses.on_run_reported(task.runs[0], harness.now)
    assert task.losses


def test_no_word_is_awaited_of_workers_that_are_known_to_have_crashed(make_harness):
    harness = make_harness(workers=12, **THREE_HALLS)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec({"count": 3, "cpu_milli": 500}))
    harness.run(40_000)
    assert harness.job(CRASHING).visible_state is JobState.FAILED
    assert not harness.cell.losses.unresolved_worker_count
