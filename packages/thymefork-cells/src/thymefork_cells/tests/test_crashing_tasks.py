"""Tasks that crash each worker that starts them.

Seen: on a site of 24 workers some tasks were started over 70 times, each time on
another worker, which crashed within 10 ms and was back after 3 s. Other work died or
waited with those workers, for the rest of the day and under the next owner, too.

How it came about: a run whose worker was gone, or whose lease was over, was released
like one that had never been, so nothing counted what its task had done. Where copies
are allowed it went faster: a silent worker gave its task a copy at once, so that three
workers were lost within 90 ms, before the first was known to be.

What proved it: `runs_lost` names the same task on every lost worker, `tasks_start`
shows the copies, and the tests here fail without the record of losses.
"""

import pytest

from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState

from .harness import job_spec

CRASHING = "00000000000000aa"
FIRST_TASK = f"{CRASHING}.0.0.0"
# After three workers have crashed under a task, it is started fewer times than this.
TOO_MANY_STARTS = 3


def crash_by(*tasks, after_ms=10.0):
    """Return what has the named tasks crash their workers."""
    return lambda task: after_ms if task in tasks else None


def assert_given_up(harness, job_id, task):
    """Assert that a crashing task ended its job within the starts it may have."""
    crashes = [crash for crash in harness.crashes if task in crash.tasks]
    assert len(crashes) >= 2  # one crash says nothing of a task
    assert len(harness.starts_after_nth_crash(task, 3)) < TOO_MANY_STARTS
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
def test_a_task_that_crashes_its_workers_is_given_up(
    make_harness, shape, after_ms, return_delay_ms
):
    harness = make_harness(workers=12)
    harness.return_delay_ms = return_delay_ms
    harness.crashes_after_ms = crash_by(FIRST_TASK, after_ms=after_ms)
    harness.submit(CRASHING, job_spec(SHAPES[shape]))
    harness.run(60_000)
    assert_given_up(harness, CRASHING, FIRST_TASK)


@pytest.mark.parametrize("shape", ["plain", "copies allowed", "lasting"])
@pytest.mark.parametrize("owned_ms", [1_300, 2_900, 4_500])
def test_a_task_that_crashes_its_workers_is_given_up_under_changing_owners(
    make_harness, shape, owned_ms
):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec(SHAPES[shape]))
    for _ in range(60_000 // owned_ms):
        harness.run(owned_ms)
        harness.is_owner_down = True
        harness.run(300)
        harness.take_over()
    harness.run(30_000)  # short ownerships learn little, so it takes three leases more
    assert_given_up(harness, CRASHING, FIRST_TASK)


def test_a_task_that_crashes_its_workers_is_given_up_among_several(make_harness):
    harness = make_harness(workers=16, hall=lambda number: f"hall-{number % 3}")
    jobs = [f"{number:016x}" for number in range(1, 6)]
    tasks = [f"{job}.0.0.{number}" for number, job in enumerate(jobs)]
    harness.crashes_after_ms = crash_by(*tasks)
    for number, job in enumerate(jobs):
        shape = {"count": 6, "cpu_milli": 500, "speculative": bool(number % 2)}
        harness.submit(job, job_spec(shape))
    harness.run(60_000)
    for job, task in zip(jobs, tasks, strict=True):
        assert_given_up(harness, job, task)


def test_a_task_that_crashes_its_workers_is_given_up_though_the_store_goes_away(
    make_harness,
):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_by(FIRST_TASK)
    harness.submit(CRASHING, job_spec(SHAPES["plain"]))
    for _ in range(6):
        harness.run(2_000)
        harness.run_store_outage(3_000)
    harness.run(40_000)
    assert_given_up(harness, CRASHING, FIRST_TASK)


@pytest.mark.parametrize("command_delay_ms", [0.0, 2_500.0])
def test_a_task_that_crashes_its_workers_is_given_up_though_answers_are_lost(
    make_harness, command_delay_ms
):
    harness = make_harness(workers=12)
    harness.crashes_after_ms = crash_by(FIRST_TASK, after_ms=0.0)
    harness.is_start_answer_lost = lambda effect: (
        not command_delay_ms
    )  # the start is carried out
    harness.command_delay_ms = lambda effect: (
        command_delay_ms * isinstance(effect, StartRun)
    )
    harness.submit(CRASHING, job_spec(SHAPES["plain"]))
    harness.run(90_000)
    if command_delay_ms:  # what is forbidden in time is no start at all
        assert len(harness.starts_after_nth_crash(FIRST_TASK, 3)) < TOO_MANY_STARTS
        return
    assert_given_up(harness, CRASHING, FIRST_TASK)
