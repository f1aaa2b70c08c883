"""A queue's count of waiting jobs holds every job that no worker has begun.

The story: an owner whose appends took long told of one waiting job where five had
waited for five seconds. A job counted as begun from the moment at which a start was
decided, before that was stored, sent, or taken by a worker.
"""

import pytest

from thymefork_cells.effects import Outcome, StartRun

from .harness import job_spec
from .virtual_site import QUEUE

JOBS = [f"{number:016x}" for number in range(5)]


def pending(harness):
    harness.cell.intake.count_pending("count", QUEUE)
    harness.run(10)
    assert harness.replies["count"].outcome is Outcome.COUNTED
    return harness.replies["count"].count


def submit_all(harness):
    for job_id in JOBS:
        harness.submit(job_id, job_spec({"count": 2, "cpu_milli": 500}))


def lose_starts(harness):
    harness.is_command_lost = lambda effect: isinstance(effect, StartRun)


def test_jobs_whose_starts_reach_no_worker_are_counted(make_harness):
    harness = make_harness()
    lose_starts(harness)
    submit_all(harness)
    harness.run(6_000)
    assert pending(harness) == len(JOBS)


def test_jobs_that_a_worker_has_confirmed_are_not_counted(make_harness):
    harness = make_harness()
    submit_all(harness)
    harness.run(200)
    assert pending(harness) == 0


def test_a_job_that_once_began_stays_begun_while_its_tasks_wait_again(make_harness):
    harness = make_harness(workers=1)
    harness.submit(JOBS[0], job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(200)
    lose_starts(harness)
    harness.crash(harness.workers["w0"])
    harness.run(100)
    assert pending(harness) == 0


@pytest.mark.parametrize("reaches", [True, False])
def test_a_new_owner_counts_by_what_workers_tell(make_harness, reaches):
    harness = make_harness()
    if not reaches:
        lose_starts(harness)
    submit_all(harness)
    harness.run(200)
    harness.is_owner_down = True
    harness.take_over()
    harness.run(300)
    assert pending(harness) == (0 if reaches else len(JOBS))
