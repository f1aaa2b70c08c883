"""Guards against work that stands still beside workers with room.

A job with room must not run nothing for long, and a lasting task must soon run again
after it lost its run, whatever this owner holds against the workers.
"""

import random

import pytest

from thymefork_cells.state import JobState

from .harness import job_spec
from .standstills import StandstillWatch

# Promised bounds: for a job that runs nothing beside room, and for a lasting task.
MAX_JOB_IDLE_MS = 3_000.0
MAX_LASTING_IDLE_MS = 6_000.0
ADVICE = {"decision_ms": 20.0, "per_worker_ms": 0.1, "valid_ms": 2_500.0}
FAILING, LASTING, WAITING = "f" * 16, "a" * 16, "b" * 16
LASTING_STEP = {"count": 4, "cpu_milli": 500, "long_running": True}
SMALL_STEP = {"count": 2, "cpu_milli": 500}
FAIL_AFTER_MS = 400.0


def fail_tasks_of(harness, job_id):
    """Let all tasks of a job fail, on whatever worker."""
    for worker in harness.workers.values():
        worker.fails_task = lambda task: task.startswith(job_id)
        worker.fail_after_ms = FAIL_AFTER_MS


def set_lasting(harness):
    for worker in harness.workers.values():
        worker.work_ms_of |= {f"{LASTING}.0.0.{index}": 1e9 for index in range(32)}


@pytest.mark.parametrize("seed", range(10))
def test_job_runs_after_failing_image_and_lasting_probes(make_harness, seed):
    """Guards against probation that a lasting probe never ends."""
    harness = make_harness(workers=4, max_attempts=50)
    rng = random.Random(seed)
    fail_tasks_of(harness, FAILING)
    set_lasting(harness)
    harness.submit(FAILING, job_spec({"count": 8, "cpu_milli": 500}))
    harness.run(rng.uniform(1_500, 3_000))
    harness.cell.intake.cancel(FAILING, FAILING, now_ms=harness.now)
    harness.submit(LASTING, job_spec(LASTING_STEP))
    harness.run(rng.uniform(2_000, 7_000))
    harness.submit(WAITING, job_spec(SMALL_STEP))
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS
    assert harness.job(WAITING).state is JobState.SUCCEEDED


@pytest.mark.parametrize("seed", range(10))
def test_job_runs_after_faulty_workers_got_lasting_probes(make_harness, seed):
    """Guards against probation behind lasting probes after the workers were faulty."""
    harness = make_harness(workers=4, max_attempts=50)
    rng = random.Random(seed)
    set_lasting(harness)
    for worker in harness.workers.values():
        worker.fails_all = True
    harness.submit(FAILING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.submit("e" * 16, job_spec({"count": 8, "cpu_milli": 500}))
    harness.run(rng.uniform(500, 1_500))
    for worker in harness.workers.values():
        worker.fails_all = False
    for health in [w.health for w in harness.cell.context.workers.values()]:
        health.pause(harness.now)
    harness.submit(LASTING, job_spec(LASTING_STEP))
    harness.run(rng.uniform(2_000, 7_000))
    harness.submit(WAITING, job_spec(SMALL_STEP))
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS


@pytest.mark.parametrize("seed", range(10))
def test_job_runs_beside_failing_image_on_its_few_workers(make_harness, seed):
    """Guards against one job's failing tasks closing another job's few workers."""
    harness = make_harness(workers=8, max_attempts=50, advice=ADVICE)
    rng = random.Random(seed)
    allowed = set(rng.sample(sorted(harness.workers), 2))
    harness.is_allowed = lambda step, worker_id: (
        not step.startswith(WAITING) or worker_id in allowed
    )
    fail_tasks_of(harness, FAILING)
    harness.submit(FAILING, job_spec({"count": 16, "cpu_milli": 500}))
    harness.run(rng.uniform(1_000, 9_000))
    harness.submit(WAITING, job_spec(SMALL_STEP))
    watch = StandstillWatch(harness=harness)
    watch.run(15_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS


@pytest.mark.parametrize("seed", range(5))
def test_lasting_tasks_run_on_beside_failing_image(make_harness, seed):
    """Guards against lasting tasks without a run while failing tasks pause workers."""
    harness = make_harness(workers=6, max_attempts=50)
    rng = random.Random(seed)
    fail_tasks_of(harness, FAILING)
    set_lasting(harness)
    harness.submit(LASTING, job_spec(LASTING_STEP))
    harness.run(1_000)
    harness.submit(FAILING, job_spec({"count": 16, "cpu_milli": 500}))
    harness.run(rng.uniform(1_000, 9_000))
    running = [w for w in harness.workers.values() if w.running]
    harness.crash(rng.choice(running))
    watch = StandstillWatch(harness=harness)
    watch.run(20_000)
    lasting = [watch.longest_ms.get(f"{LASTING}.0.0.{index}", 0) for index in range(4)]
    assert max(lasting) < MAX_LASTING_IDLE_MS


@pytest.mark.parametrize("has_advice", [False, True])
@pytest.mark.parametrize("failed", [1, 2])
def test_lasting_task_returns_to_the_only_worker_left(make_harness, has_advice, failed):
    """Guards against a task that avoids its only place for good.

    Anti-affinity keeps one lasting task on each worker; some fail once.
    """
    harness = make_harness(workers=4, advice=ADVICE if has_advice else None)
    set_lasting(harness)
    spread = {**LASTING_STEP, "most_per_worker": 1}
    harness.submit(LASTING, job_spec(spread))
    harness.run(2_000)
    for worker in list(harness.workers.values())[:failed]:
        worker.fail_running(harness.now)
    watch = StandstillWatch(harness=harness)
    watch.run(20_000)
    lasting = [watch.longest_ms.get(f"{LASTING}.0.0.{index}", 0) for index in range(4)]
    assert max(lasting) < MAX_JOB_IDLE_MS


def test_task_returns_to_avoided_worker_when_others_fill_up(make_harness):
    """Guards against waiting for workers that lasting tasks have filled."""
    harness = make_harness(workers=2, cpu_milli=2_000)
    set_lasting(harness)
    fillers = {"count": 1, "cpu_milli": 2_000, "long_running": True}
    harness.submit(LASTING, job_spec(fillers))
    harness.run(500)
    harness.submit(WAITING, job_spec({"count": 1, "cpu_milli": 2_000}))
    harness.run(500)
    worker = next(
        worker
        for worker in harness.workers.values()
        if any(task.startswith(WAITING) for task, _ in worker.running)
    )
    worker.fail_running(harness.now)
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS


@pytest.mark.parametrize("count", [2, 8])
def test_gang_runs_on_workers_that_nobody_probes(make_harness, count):
    """Guards against gangs that wait for a probe that no task makes."""
    harness = make_harness(workers=4, cpu_milli=4_000, max_attempts=50)
    fail_tasks_of(harness, FAILING)
    harness.submit(FAILING, job_spec({"count": 16, "cpu_milli": 500}))
    harness.run(1_400)
    harness.cell.intake.cancel(FAILING, FAILING, now_ms=harness.now)
    harness.submit(
        WAITING, job_spec({"count": count, "cpu_milli": 2_000, "gang": True})
    )
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS


@pytest.mark.parametrize("count", [2, 8])
def test_gang_runs_on_workers_that_were_faulty(make_harness, count):
    """Guards against gangs that wait for a probe after their workers were faulty."""
    harness = make_harness(workers=4, cpu_milli=4_000)
    for worker in harness.cell.context.workers.values():
        worker.health.pause(harness.now)
    harness.submit(
        WAITING, job_spec({"count": count, "cpu_milli": 2_000, "gang": True})
    )
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS


def test_gang_prefers_workers_that_are_not_on_probation(make_harness):
    """Guards against gangs on faulty workers beside sound ones."""
    harness = make_harness(workers=4, cpu_milli=4_000)
    faulty = sorted(harness.workers)[:2]
    for worker_id in faulty:
        harness.workers[worker_id].fails_all = True
        harness.cell.context.workers[worker_id].health.on_probation = True
    harness.submit(WAITING, job_spec({"count": 4, "cpu_milli": 2_000, "gang": True}))
    harness.run(3_000)
    assert harness.job(WAITING).state is JobState.SUCCEEDED
    assert not any(harness.workers[worker_id].starts for worker_id in faulty)


# How long a cut worker's entry stays in the platform's list.
ENTRY_TTL_MS = 4_500.0


def cut_worker(harness, worker, *, for_ms, loses_entry):
    """Cut a worker off, maybe also from the platform's list; it runs on."""
    harness.disconnect_worker(worker, for_ms=for_ms)
    if not loses_entry or for_ms <= ENTRY_TTL_MS:
        return
    (entry,) = (row for row in harness.entries if row.worker_id == worker.worker_id)

    def remove():
        harness.publish_worker_list([row for row in harness.entries if row != entry])

    harness.run_after(ENTRY_TTL_MS, remove)
    harness.run_after(
        for_ms, lambda: harness.publish_worker_list([*harness.entries, entry])
    )


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("loses_entry", [False, True])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_silent_workers_fail_no_job(make_harness, seed, is_lasting, loses_entry):
    """Guards against jobs that are failed because workers under them are cut off."""
    harness = make_harness(workers=8)
    rng = random.Random(f"{seed} {is_lasting}")
    step = {"count": 3, "cpu_milli": 500, "long_running": is_lasting}
    for worker in harness.workers.values():
        worker.work_ms = 1e9
    harness.submit(LASTING, job_spec(step))
    for _ in range(8):
        harness.run(rng.uniform(500, 6_000))
        busy = [
            worker
            for worker in harness.workers.values()
            if worker.running and not worker.is_unreachable
        ]
        if busy:
            for_ms = rng.uniform(4_000, 40_000)
            cut_worker(
                harness, rng.choice(busy), for_ms=for_ms, loses_entry=loses_entry
            )
    harness.run(5_000)
    assert harness.job(LASTING).state is JobState.RUNNING


def test_lasting_task_runs_beside_reservations_without_end(make_harness):
    """Guards against lasting tasks kept out by one reservation after the other."""
    harness = make_harness(workers=2)
    set_lasting(harness)
    for number in range(60):
        large = {"count": 2, "cpu_milli": 5_000, "estimated_ms": 800}
        harness.submit(f"{number:016x}", job_spec(large))
        if number == 5:
            harness.submit(LASTING, job_spec(LASTING_STEP), queue="batch")
            watch = StandstillWatch(harness=harness)
        harness.run(600) if number < 6 else watch.run(600)
    lasting = [watch.longest_ms.get(f"{LASTING}.0.0.{index}", 0) for index in range(4)]
    assert harness.counts["large_task"]
    assert max(lasting) < MAX_LASTING_IDLE_MS


@pytest.mark.parametrize("has_advice", [False, True])
@pytest.mark.parametrize("before_ms", [0, 5, 15, 26, 60])
def test_lasting_task_runs_on_after_its_end_came_before_a_new_owner(
    make_harness, before_ms, has_advice
):
    """Guards against ends that are lost with the owner that heard them last."""
    harness = make_harness(workers=4, advice=ADVICE if has_advice else None)
    set_lasting(harness)
    harness.submit(LASTING, job_spec(LASTING_STEP))
    harness.run(2_000)
    worker = next(worker for worker in harness.workers.values() if worker.running)
    worker.fail_running(harness.now)
    watch = StandstillWatch(harness=harness)
    harness.run(before_ms or 1)
    harness.is_owner_down = True
    harness.run(300)
    harness.take_over()
    watch.run(10_000)
    lasting = [watch.longest_ms.get(f"{LASTING}.0.0.{index}", 0) for index in range(4)]
    assert max(lasting) < MAX_JOB_IDLE_MS
