"""Preemption of runs that checkpoint their progress."""

from thymefork_cells.state import JobState

from .harness import job_spec

JOB, BATCH = "00000000000000aa", "00000000000000bb"
URGENT = {"count": 1, "cpu_milli": 4_000, "estimated_ms": 800}


def fill_worker(harness, **fields):
    worker = harness.workers["w0"]
    worker.work_ms = 10_000.0
    step = {"count": 2, "cpu_milli": 4_000, **fields}
    harness.submit(BATCH, job_spec(step), queue="batch")
    harness.run(1_500)
    assert len(worker.running) == 2
    worker.work_ms = 300.0


def test_checkpointing_runs_are_preempted(make_harness):
    harness = make_harness(workers=1)
    fill_worker(harness, checkpoints=True)
    harness.submit(JOB, job_spec(URGENT))
    harness.run(1_200)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    harness.run(15_000)
    assert harness.job(BATCH).visible_state is JobState.SUCCEEDED


def test_runs_without_checkpoints_are_not_preempted(make_harness):
    harness = make_harness(workers=1)
    fill_worker(harness)
    harness.submit(JOB, job_spec(URGENT))
    harness.run(1_200)
    assert not harness.starts_of(f"{JOB}.0.0.0")


def test_late_step_preempts_nothing(make_harness):
    harness = make_harness(workers=1)
    fill_worker(harness, checkpoints=True)
    harness.submit(JOB, job_spec({**URGENT, "estimated_ms": 1}))
    harness.job(JOB).objective_ms = harness.now
    harness.run(1_200)
    assert not harness.starts_of(f"{JOB}.0.0.0")


def fill_accelerators(harness, count):
    """Occupy accelerators with preemptible tasks, one each."""
    for worker in harness.workers.values():
        worker.work_ms = 10_000.0
    step = {"count": count, "cpu_milli": 500, "accelerators": 1, "checkpoints": True}
    harness.submit(BATCH, job_spec(step), queue="batch")
    harness.job(BATCH).objective_ms = harness.now + 60_000
    harness.run(1_500)
    for worker in harness.workers.values():
        worker.work_ms = 300.0


WHOLE_WORKER = {"count": 1, "cpu_milli": 1_000, "accelerators": 4, "estimated_ms": 400}


def test_several_runs_are_preempted_for_all_accelerators(make_harness):
    harness = make_harness(workers=2, accelerators=4)
    fill_accelerators(harness, 8)
    harness.submit(JOB, job_spec(WHOLE_WORKER))
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert harness.counts["made_way"] == 4


def test_worker_with_least_work_to_stop_is_chosen(make_harness):
    harness = make_harness(workers=2, accelerators=4)
    fill_accelerators(harness, 6)
    busy = {key: len(worker.running) for key, worker in harness.workers.items()}
    assert sorted(busy.values()) == [2, 4]
    harness.submit(JOB, job_spec(WHOLE_WORKER))
    harness.run(2_000)
    assert busy[harness.starts_of(f"{JOB}.0.0.0")[0][0]] == 2
    assert harness.counts["made_way"] == 2


def test_run_is_not_preempted_if_its_job_would_be_late(make_harness):
    harness = make_harness(workers=1, accelerators=4)
    fill_accelerators(harness, 4)
    harness.job(BATCH).objective_ms = harness.now + 9_000
    harness.submit(JOB, job_spec(WHOLE_WORKER))
    harness.run(2_000)
    assert not harness.counts["made_way"]
