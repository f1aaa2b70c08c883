"""Pending counts of queues.

Guards against jobs that count as begun before a worker has confirmed a start.
"""

import pytest

from thymefork_cells.effects import Outcome, StartRun

from .harness import job_spec
from .harness_defaults import QUEUE

JOBS = [f"{number:016x}" for number in range(5)]


def pending(harness):
    harness.cell.intake.count_pending("count", QUEUE)
    harness.run(10)
    assert harness.replies["count"].outcome is Outcome.COUNTED
    return harness.replies["count"].count


def submit_all(harness):
    for job_id in JOBS:
        harness.submit(job_id, job_spec({"count": 2, "cpu_milli": 500}))


def drop_starts(harness):
    harness.is_command_lost = lambda effect: isinstance(effect, StartRun)


def test_jobs_with_lost_starts_are_pending(make_harness):
    harness = make_harness()
    drop_starts(harness)
    submit_all(harness)
    harness.run(6_000)
    assert pending(harness) == len(JOBS)


def test_jobs_with_confirmed_starts_are_not_pending(make_harness):
    harness = make_harness()
    submit_all(harness)
    harness.run(200)
    assert pending(harness) == 0


def test_job_that_lost_its_run_is_not_pending_again(make_harness):
    harness = make_harness(workers=1)
    harness.submit(JOBS[0], job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(200)
    drop_starts(harness)
    harness.crash(harness.workers["w0"])
    harness.run(100)
    assert pending(harness) == 0


@pytest.mark.parametrize("is_delivered", [True, False])
def test_new_owner_counts_by_worker_reports(make_harness, is_delivered):
    harness = make_harness()
    if not is_delivered:
        drop_starts(harness)
    submit_all(harness)
    harness.run(200)
    harness.is_owner_down = True
    harness.take_over()
    harness.run(300)
    assert pending(harness) == (0 if is_delivered else len(JOBS))
