"""Guards against tasks that crash one worker after another.

Their jobs have to fail after a few crashes, also across takeovers.
"""

import pytest

from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState

from .harness import job_spec

CRASHING = "00000000000000aa"
FIRST_TASK = f"{CRASHING}.0.0.0"
# A task is started fewer times than this after three crashes.
START_LIMIT = 3


def crash_if_task(*tasks, after_ms=10.0):
    """Return a function by which the named tasks crash their workers."""
    return lambda task: after_ms if task in tasks else None


def assert_failed_early(harness, job_id, task):
    """Assert that the job of a crashing task failed after a few starts."""
    crashes = [crash for crash in harness.crashes if task in crash.tasks]
    assert len(crashes) >= 2  # a single crash must not fail the job
    assert len(harness.starts_after_nth_crash(task, 3)) < START_LIMIT
    assert harness.job(job_id).visible_state is JobState.FAILED


SHAPES = {
    "plain": {"count": 1, "cpu_milli": 500},
    "step of several": {"count": 4, "cpu_milli": 500},
    "copies allowed": {"count": 2, "cpu_milli": 500, "speculative": True},
    "gang": {"count": 3, "cpu_milli": 500, "gang": True},
    "lasting": {"count": 2, "cpu_milli": 500, "long_running": True},
    "lasting, some may be away": {
        "count": 3,
        "cpu_milli": 500,
        "long_running": True,
        "most_missing": 1,
    },
}


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("after_ms", [5.0, 400.0])
@pytest.mark.parametrize("return_delay_ms", [900.0, 2_800.0, 12_000.0])
def test_job_of_crashing_task_fails(make_harness, shape, after_ms, return_delay_ms):
    harness = make_harness(workers=12)
    harness.return_delay_ms = return_delay_ms
    harness.crashes_after_ms = crash_if_task(FIRST_TASK, after_ms=after_ms)
    harness.submit(CRASHING, job_spec(SHAPES[shape]))
    harness.run(60_000)
    assert_failed_early(harness, CRASHING, FIRST_TASK)


@pytest.mark.parametrize("shape", ["plain", "copies allowed", "lasting"])
@pytest.mark.parametrize("owned_ms", [1_300, 2_900, 4_500])
def test_job_of_crashing_task_fails_despite_takeovers(make_harness, shape, owned_ms):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_if_task(FIRST_TASK)
    harness.submit(CRASHING, job_spec(SHAPES[shape]))
    for _ in range(60_000 // owned_ms):
        harness.run(owned_ms)
        harness.is_owner_down = True
        harness.run(300)
        harness.take_over()
    harness.run(30_000)  # frequent takeovers delay detection
    assert_failed_early(harness, CRASHING, FIRST_TASK)


def test_jobs_of_several_crashing_tasks_fail(make_harness):
    harness = make_harness(workers=16, hall=lambda number: f"hall-{number % 3}")
    jobs = [f"{number:016x}" for number in range(1, 6)]
    tasks = [f"{job}.0.0.{number}" for number, job in enumerate(jobs)]
    harness.crashes_after_ms = crash_if_task(*tasks)
    for number, job in enumerate(jobs):
        shape = {"count": 6, "cpu_milli": 500, "speculative": bool(number % 2)}
        harness.submit(job, job_spec(shape))
    harness.run(60_000)
    for job, task in zip(jobs, tasks, strict=True):
        assert_failed_early(harness, job, task)


def test_job_of_crashing_task_fails_despite_store_outages(
    make_harness,
):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_if_task(FIRST_TASK)
    harness.submit(CRASHING, job_spec(SHAPES["plain"]))
    for _ in range(6):
        harness.run(2_000)
        harness.run_store_outage(3_000)
    harness.run(40_000)
    assert_failed_early(harness, CRASHING, FIRST_TASK)


@pytest.mark.parametrize("command_delay_ms", [0.0, 2_500.0])
def test_job_of_crashing_task_fails_despite_lost_answers(
    make_harness, command_delay_ms
):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_if_task(FIRST_TASK, after_ms=0.0)
    harness.is_start_answer_lost = lambda effect: (
        not command_delay_ms
    )  # the start is carried out
    harness.command_delay_ms = lambda effect: (
        command_delay_ms * isinstance(effect, StartRun)
    )
    harness.submit(CRASHING, job_spec(SHAPES["plain"]))
    harness.run(90_000)
    if command_delay_ms:  # starts that were stopped in time do not count
        assert len(harness.starts_after_nth_crash(FIRST_TASK, 3)) < START_LIMIT
        return
    assert_failed_early(harness, CRASHING, FIRST_TASK)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("after_ms", [5.0, 400.0, 4_000.0])
def test_job_of_crashing_task_fails_though_machines_stay_dark(
    make_harness, shape, after_ms
):
    """Guards against jobs that take down one machine after another for good."""
    harness = make_harness(workers=16)
    harness.return_delay_ms = 1e9
    for worker in harness.workers.values():
        worker.work_ms = 1e9
    harness.crashes_after_ms = crash_if_task(FIRST_TASK, after_ms=after_ms)
    harness.submit(CRASHING, job_spec(SHAPES[shape]))
    harness.run(90_000)
    assert_failed_early(harness, CRASHING, FIRST_TASK)
