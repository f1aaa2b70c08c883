"""Worker incarnations in the stored progress of a job, and records without them."""

import orjson

from thymefork_cells.jobs.codec import decode_progress, encode_progress
from thymefork_cells.state import JobState, WorkerLoss

from .harness import START_EPOCH_MS, job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
STARTED_EPOCH_MS = int(START_EPOCH_MS)


def started_task(harness):
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    return harness.job(JOB).steps[0].tasks[0]


def decoded(harness, task, data):
    """Apply stored progress to a task's job; return the task's runs and losses."""
    task.runs.clear()
    task.losses.clear()
    decode_progress(
        harness.job(JOB), data, harness.cell.registry.get_or_add_placeholder
    )
    return task.runs, list(task.losses.values())


def test_stored_runs_and_losses_keep_their_incarnation(harness):
    task = started_task(harness)
    lost = WorkerLoss(worker_id="w", after_ms=7, is_certain=True, born_epoch_ms=5)
    task.losses[lost.incarnation] = lost
    runs, losses = decoded(harness, task, encode_progress(harness.job(JOB)))
    assert [run.born_epoch_ms for run in runs] == [STARTED_EPOCH_MS]
    assert losses == [lost]


def test_record_without_incarnations_can_be_read(harness):
    task = started_task(harness)
    state, ((step, done, ((*row, starts_epoch_ms, created_epoch_ms),), gang),) = (
        orjson.loads(encode_progress(harness.job(JOB)))
    )
    assert starts_epoch_ms == [STARTED_EPOCH_MS]
    assert created_epoch_ms == [STARTED_EPOCH_MS + 50]
    for fields in (row[:5], [*row[:5], [["w", 7, False, False]]]):
        data = orjson.dumps([state, [[step, done, [fields], gang]]])
        runs, losses = decoded(harness, task, data)
        assert [run.born_epoch_ms for run in runs] == [0]
        assert [loss.incarnation for loss in losses] == [("w", 0)] * (len(fields) - 5)


# A next owner knew nothing of the point at which a run was lost, and blamed the task.
def test_stored_runs_and_losses_keep_bounds_of_their_age(harness):
    task = started_task(harness)
    lost = WorkerLoss(worker_id="w", after_ms=None, is_certain=True, within_ms=700)
    task.losses[lost.incarnation] = lost
    runs, losses = decoded(harness, task, encode_progress(harness.job(JOB)))
    assert losses == [lost]
    (run,) = runs
    age_ms = run.max_age_at_silence_ms(harness.now, START_EPOCH_MS + harness.now)
    assert age_ms == harness.now - 50


def test_record_without_ages_can_be_read(harness):
    task = started_task(harness)
    state, ((step, done, ((*row, _),), gang),) = orjson.loads(
        encode_progress(harness.job(JOB))
    )
    data = orjson.dumps([state, [[step, done, [row], gang]]])
    (run,), _ = decoded(harness, task, data)
    assert run.born_epoch_ms == STARTED_EPOCH_MS
    assert run.max_age_at_silence_ms(harness.now, START_EPOCH_MS + harness.now) == 0


def test_next_owner_restarts_tasks_of_ended_incarnation(make_harness):
    """Guards against waiting for the lease of an incarnation that has ended."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 3_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 1_000}))
    harness.run(500)
    harness.is_owner_down = True
    worker = max(harness.workers.values(), key=lambda one: len(one.running))
    harness.restart(worker, away_ms=50.0)
    harness.run(300)
    harness.take_over()
    harness.run(1_000)
    assert len(harness.running()) == 4
    harness.run(4_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert not tasks_run_twice(harness)


def test_progress_without_losses_keeps_the_older_format(harness):
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    job = harness.job(JOB)
    before = encode_progress(job)
    task = job.steps[0].tasks[0]
    loss = WorkerLoss(worker_id="w", after_ms=7, is_certain=False)
    task.losses[loss.incarnation] = loss
    with_losses = encode_progress(job)
    assert before != with_losses
    task.losses.clear()
    for data, wanted in ((before, {}), (with_losses, {loss.incarnation})):
        task.runs.clear()
        decode_progress(job, data, harness.cell.registry.get_or_add_placeholder)
        assert set(task.losses) == set(wanted)
    assert encode_progress(job) == with_losses
