"""Records that do not fit into one append, and what waits for them."""

import pytest

from thymefork_cells.effects import Outcome
from thymefork_cells.state import JobState

from .harness import job_spec

LASTING = "f" * 16


def submit_more_than_one_append(harness):
    """Hand in 1.6 MB of jobs at once; an append carries 1 MB."""
    step = {"count": 1, "cpu_milli": 500}
    for number in range(400):
        harness.submit(f"{number:016x}", job_spec(step, payload="x" * 4_000))


def accepted(harness):
    return {
        job_id
        for job_id, reply in harness.replies.items()
        if reply.outcome is Outcome.ACCEPTED
    }


def test_no_caller_is_told_of_a_job_whose_record_waits_for_the_next_append(harness):
    submit_more_than_one_append(harness)
    while len(accepted(harness)) < 400:
        harness.run(1)
        assert accepted(harness) <= {key[1:] for key in harness.store}
        assert harness.now < 2_000


def test_a_cancelling_that_was_answered_outlasts_its_owner_beside_many_records(
    harness,
):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    lasting = {"count": 2, "cpu_milli": 500, "long_running": True}
    harness.submit(LASTING, job_spec(lasting))
    harness.run(400)
    submit_more_than_one_append(harness)
    harness.cell.intake.cancel("cancel", LASTING, now_ms=harness.now)
    while "cancel" not in harness.replies:
        harness.run(1)
    harness.take_over()
    assert harness.job(LASTING).state is JobState.CANCELLED


@pytest.mark.parametrize("down_ms", [100, 500])
def test_no_accepted_job_is_withdrawn_with_those_of_a_later_append(harness, down_ms):
    submit_more_than_one_append(harness)
    while not accepted(harness):
        harness.run(1)
    harness.store_down = True
    harness.run(down_ms)
    harness.store_down = False
    harness.run(500)
    assert accepted(harness)
    assert accepted(harness) <= harness.cell.context.jobs.keys()
    refused = set(harness.replies) - accepted(harness)
    assert not refused & harness.cell.context.jobs.keys()
