"""Jobs whose progress is larger than a record of the store."""

import orjson
import pytest

from thymefork_cells.effects import Outcome
from thymefork_cells.jobs.codec import encode_progress
from thymefork_cells.specs import RecordLimits
from thymefork_cells.state import JobState

from .harness import job_spec
from .run_invariants import tasks_run_twice

LARGE, SMALL = "a" * 16, "b" * 16
TASKS = 600
STEP = {"count": TASKS, "cpu_milli": 10, "checkpoints": True, "estimated_ms": 2_000}
SMALL_STEP = {"count": 2, "cpu_milli": 100}
# A store that takes small records only stands for larger jobs.
LIMITS = RecordLimits(max_record_bytes=32_768, max_call_bytes=131_072)
CHECKPOINT = "c" * 120


def with_limits(harness, limits=LIMITS):
    """Let the store take no more than this, and an owner know it."""
    harness.record_limits = limits
    harness.take_over()
    harness.run(50)
    return harness


@pytest.fixture
def harness(make_harness):
    harness = with_limits(make_harness(workers=4))
    for worker in harness.workers.values():
        worker.work_ms = 2_000.0
        worker.checkpoint = CHECKPOINT
    return harness


def submit_large(harness, **fields):
    harness.submit(LARGE, job_spec({**STEP, **fields}))


def run_until_shown(harness, job_id, state, within_ms):
    """Run until a job is shown in a state."""
    until_ms = harness.now + within_ms
    while harness.now < until_ms and harness.job(job_id).visible_state is not state:
        harness.run(50)
    assert harness.job(job_id).visible_state is state


def stored_of(harness, job_id):
    """Return the keys of a job's records."""
    return {key for key in harness.store if job_id in key}


def change_owner(harness, after_ms=300):
    harness.is_owner_down = True
    harness.run(after_ms)
    harness.take_over()


# Once a job's progress had outgrown a record, its whole cell stored nothing any more.
def test_jobs_go_on_beside_one_with_large_progress(harness):
    submit_large(harness)
    harness.run(1_000)
    assert len(harness.running()) == TASKS
    harness.submit(SMALL, job_spec(SMALL_STEP))
    harness.run(100)
    assert harness.replies[SMALL].outcome is Outcome.ACCEPTED
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 5_000)
    run_until_shown(harness, SMALL, JobState.SUCCEEDED, 5_000)
    assert len(harness.starts_of(f"{LARGE}.0.0.{TASKS - 1}")) == 1


# A loss of workers makes the rows of their tasks longer.
def test_tasks_of_lost_workers_start_again_in_a_large_job(harness):
    for worker in harness.workers.values():
        worker.work_ms = 30_000.0
    submit_large(harness, cpu_milli=40)
    harness.run(8_000)
    lost = harness.workers["w0"]
    tasks = [task for task, _ in lost.running]
    assert len(tasks) >= TASKS // len(harness.workers)
    lost.end_incarnation(harness.now)
    harness.publish_worker_list(
        [entry for entry in harness.entries if entry.worker_id != "w0"]
    )
    harness.run(15_000)
    assert {task for task, _ in harness.running()} >= set(tasks)
    harness.submit(SMALL, job_spec({**SMALL_STEP, "cpu_milli": 10}))
    harness.run(100)
    assert harness.replies[SMALL].outcome is Outcome.ACCEPTED


# A change of one task wrote the progress of all.
def test_end_of_a_task_writes_the_records_around_it_only(harness):
    for worker in harness.workers.values():
        worker.work_ms_of[f"{LARGE}.0.0.7"] = 900.0
    submit_large(harness)
    harness.run(800)
    whole_bytes = len(encode_progress(harness.job(LARGE)))
    harness.appends.clear()
    harness.run(400)
    assert harness.job(LARGE).tasks[7].done
    written = [record for records in harness.appends for record in records]
    assert sum(len(key) + len(value) for key, value in written) < whole_bytes / 10


# What a next owner reads has to be whole at each moment at which the owner may end.
@pytest.mark.parametrize("appends", range(1, 14))
@pytest.mark.parametrize("max_call_bytes", [8_192, 131_072])
def test_next_owner_goes_on_after_any_append_of_a_large_job(
    make_harness, appends, max_call_bytes
):
    limits = RecordLimits(max_record_bytes=8_000, max_call_bytes=max_call_bytes)
    harness = with_limits(make_harness(workers=4), limits)
    for worker in harness.workers.values():
        worker.work_ms = 1_200.0
    harness.appends.clear()
    submit_large(harness)
    until_ms = harness.now + 5_000
    while len(harness.appends) < appends and harness.now < until_ms:
        harness.run(1)
    change_owner(harness)
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 20_000)
    assert not tasks_run_twice(harness)
    change_owner(harness)
    assert harness.job(LARGE).visible_state is JobState.SUCCEEDED


# Tasks of a divided job must be neither forgotten nor run again.
@pytest.mark.parametrize("at_ms", range(100, 3_600, 350))
def test_large_job_outlives_changes_of_owner(harness, at_ms):
    second = {**STEP, "after": (0,), "count": 40}
    harness.submit(LARGE, job_spec(STEP, second))
    harness.run(at_ms)
    change_owner(harness)
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 20_000)
    assert not tasks_run_twice(harness)


# Nothing of an ended job stays but its state, or takeovers get slow.
@pytest.mark.parametrize("cancels", [False, True])
def test_records_of_an_ended_large_job_are_removed(harness, cancels):
    submit_large(harness)
    harness.run(1_000)
    assert len(stored_of(harness, LARGE)) > TASKS // 100
    if cancels:
        harness.cell.intake.cancel("cancel", LARGE, now_ms=harness.now)
        harness.run(100)
        assert harness.replies["cancel"].outcome is Outcome.CANCELLED
        change_owner(harness)
    harness.run(10_000)
    assert not harness.running()
    state = JobState.CANCELLED if cancels else JobState.SUCCEEDED
    assert harness.job(LARGE).visible_state is state
    assert stored_of(harness, LARGE) == {f"p{LARGE}"}
    harness.take_over()
    assert harness.job(LARGE).visible_state is state


# One end stands for all members, also if the records of some were not stored yet.
def test_gang_of_which_a_part_is_stored_as_done_is_done(make_harness):
    harness = with_limits(make_harness(workers=8), LIMITS)
    last = {"count": 1, "cpu_milli": 10, "after": (0,)}
    harness.submit(LARGE, job_spec({**STEP, "gang": True, "count": 400}, last))
    harness.run(400)
    assert len(harness.running()) == 400
    before = dict(harness.store)
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 5_000)
    done = next(
        record
        for records in harness.appends
        for record in records
        if record[0].startswith(f"t{LARGE}.") and record[1]
        if orjson.loads(record[1])[0][1]
    )
    harness.is_owner_down = True
    for worker in harness.workers.values():
        worker.end_incarnation(harness.now)
    harness.store = before | dict([done])
    harness.take_over()
    assert harness.job(LARGE).steps[0].is_done


# Nothing bounds the length of what a run saves.
@pytest.mark.parametrize("characters", [20_000, 300_000])
@pytest.mark.parametrize("count", [1, 40])
def test_job_is_kept_whatever_its_tasks_save(make_harness, characters, count):
    harness = with_limits(make_harness(workers=4), RecordLimits())
    for worker in harness.workers.values():
        worker.work_ms = 3_000.0
        worker.checkpoint = "\x01" + "c" * characters
    submit_large(harness, count=count)
    harness.submit(SMALL, job_spec(SMALL_STEP))
    harness.run(1_500)
    harness.workers["w0"].fail_running(harness.now)
    harness.run(200)
    change_owner(harness)
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 15_000)
    run_until_shown(harness, SMALL, JobState.SUCCEEDED, 15_000)
    assert not tasks_run_twice(harness)


def earlier_ended_state(progress):
    """Read a record as the release before large jobs does, at its takeover."""
    state, rows = orjson.loads(progress)
    return None if rows else state


# An earlier release beside this one must not take a job's tasks for not begun.
def test_earlier_release_refuses_divided_progress_and_reads_all_other(harness):
    harness.submit(SMALL, job_spec(SMALL_STEP))
    submit_large(harness)
    harness.run(400)
    assert earlier_ended_state(harness.store[f"p{SMALL}"]) is None
    with pytest.raises(ValueError, match="unpack"):
        earlier_ended_state(harness.store[f"p{LARGE}"])
    harness.run(10_000)
    for job_id in (SMALL, LARGE):
        assert earlier_ended_state(harness.store[f"p{job_id}"]) == "succeeded"


# Jobs that an earlier release has stored as one record, however large, go on.
def test_large_progress_of_an_earlier_release_is_read(harness):
    submit_large(harness)
    harness.run(400)
    job = harness.job(LARGE)
    harness.is_owner_down = True
    harness.store = {
        key: value
        for key, value in harness.store.items()
        if not key.startswith(f"t{LARGE}")
    } | {f"p{LARGE}": encode_progress(job)}
    harness.run(100)
    harness.take_over()
    run_until_shown(harness, LARGE, JobState.SUCCEEDED, 10_000)
    assert not tasks_run_twice(harness)
