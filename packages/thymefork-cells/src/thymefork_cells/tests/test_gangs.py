"""Gangs whose end is reported after they were given up."""

import pytest

from thymefork_cells.state import RunState

from .harness import job_spec

JOB = "00000000000000aa"


@pytest.mark.parametrize("state", [RunState.INTENDED, RunState.SENT, RunState.LIVE])
def test_gang_with_late_success_does_not_run_again(harness, state):
    """Guards against a second run of a gang whose first run succeeded.

    Run 0 is the one that was given up, run 1 the next one.
    """
    gang = {"count": 2, "cpu_milli": 500, "gang": True}
    harness.submit(JOB, job_spec(gang, {"count": 1, "cpu_milli": 500, "after": (0,)}))
    step = harness.job(JOB).steps[0]
    while not (step.tasks[0].runs and step.tasks[0].runs[0].state is state):
        harness.run(1)
        assert harness.now < 2_000
    for task in step.tasks:
        harness.cell.lifecycle.end_late(task.name, 0, "done", now_ms=harness.now)
    assert step.is_done
    harness.run(300)
    assert not {task.name for task in step.tasks} & {
        key[0] for key in harness.running()
    }
    if state is RunState.INTENDED:
        assert not harness.starts_of(f"{JOB}.0.0.0")
