"""Guards against sound jobs that are failed for crashes of workers by others."""

import random

import pytest

from thymefork_cells.state import JobState

from .harness import job_spec

LASTING = "a" * 16
LASTING_STEP = {
    "count": 3,
    "cpu_milli": 500,
    "long_running": True,
    "most_per_worker": 1,
}
CRASH_AFTER_MS = (0.0, 10.0, 300.0)


def submit_lasting(harness):
    for worker in harness.workers.values():
        worker.work_ms_of = {f"{LASTING}.0.0.{index}": 1e9 for index in range(3)}
    harness.submit(LASTING, job_spec(LASTING_STEP))


def crash_under(harness, task):
    """Crash the worker that runs a task."""
    harness.crash(
        next(
            worker
            for worker in harness.workers.values()
            if any(name == task for name, _ in worker.running)
        )
    )


def test_crashes_at_early_and_late_points_fail_no_job(make_harness):
    """Guards against early losses that a late one keeps from being cleared.

    A task whose run has got well beyond a point does not crash its workers there.
    """
    harness = make_harness(workers=8)
    submit_lasting(harness)
    for running_ms in (20_000, 1_000, 8_000, 3_000, 2_000):
        harness.run(running_ms)
        crash_under(harness, f"{LASTING}.0.0.0")
        harness.run(4_000)
    assert harness.job(LASTING).state is JobState.RUNNING


def test_loss_at_an_unknown_point_is_recorded_beside_a_late_one(make_harness):
    """Guards against crashing tasks whose losses are dropped after a new owner."""
    harness = make_harness(workers=8)
    submit_lasting(harness)
    harness.run(12_000)
    crash_under(harness, f"{LASTING}.0.0.0")
    harness.run(4_000)
    task = harness.job(LASTING).steps[0].tasks[0]
    task.runs[0].began_ms = 0.0
    crash_under(harness, task.name)
    harness.run(4_000)
    assert len(task.losses) == 2


@pytest.mark.parametrize("seed", range(10))
def test_lasting_job_outlives_crashes_by_others(make_harness, seed):
    """Guards against lasting jobs that are failed among jobs that crash workers."""
    rng = random.Random(seed)
    harness = make_harness(workers=6)
    harness.keeps_worker_ids = True
    harness.return_delay_ms = rng.uniform(1_000, 4_000)
    submit_lasting(harness)
    crashes_after_ms = {}
    harness.crashes_after_ms = crashes_after_ms.get
    for number in range(0, 1_000, 5):
        if harness.now > 60_000:
            break
        crashing = f"{number + 1:016x}"
        crashes_after_ms[f"{crashing}.0.0.0"] = rng.choice(CRASH_AFTER_MS)
        harness.submit(
            crashing, job_spec({"count": rng.randint(1, 3), "cpu_milli": 500})
        )
        for index in range(2, 6):
            step = {"count": rng.randint(1, 6), "cpu_milli": 500}
            harness.submit(f"{number + index:016x}", job_spec(step))
            harness.run(rng.uniform(500, 1_500))
        up = [one for one in harness.workers.values() if not one.is_unreachable]
        if up and rng.random() < 0.5:
            harness.crash(rng.choice(up))
    assert harness.job(LASTING).state is JobState.RUNNING


# Losses beside a crashing job stayed held against the sound jobs on the same workers.
def test_failed_crashing_job_explains_losses_of_jobs_beside_it(make_harness):
    harness = make_harness(workers=2)
    submit_lasting(harness)
    harness.run(500)
    crashing = "c" * 16
    harness.crashes_after_ms = {f"{crashing}.0.0.0": 10.0}.get
    harness.submit(crashing, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(25_000)
    assert harness.job(crashing).state is JobState.FAILED
    assert harness.counts["explained"] > 0
    losses = [len(task.losses) for task in harness.job(LASTING).steps[0].tasks]
    assert losses == [0, 0, 0]


# A sound job was failed for crashes of workers that other jobs had caused.
@pytest.mark.parametrize("seed", range(3_000, 3_012))
def test_lasting_job_outlives_many_crashing_jobs(make_harness, seed):
    test_lasting_job_outlives_crashes_by_others(make_harness, seed)
