"""An account's limit can be used whichever cells its jobs are dealt to.

The story, from the sweep's day at 100 instances on the shifted deployment: LOST, a task
of 15 cores could run at the end, with most of the room free, and did not. That day has
five cells, the one at 300 instances eight, and each keeps to an equal part of an
account's limit. A part that is held, or too small for a task, keeps a job waiting
though the account has most of its limit free in other cells.

The rule that callers go by: a job has something running where there is room and its
account holds under half of its limit; a job that fits the limit is not refused.
"""

from thymefork_cells.effects import Outcome

from .harness import job_spec
from .test_accounts import account, use_accounts

CELLS = 5
LIMIT_CPU_MILLI = 90_000
JOB = "b" * 16


def in_one_of_cells(make_harness):
    """Return a cell among several, with room for all that its account may run."""
    harness = make_harness(workers=8, cpu_milli=32_000)
    use_accounts(harness, account(cpu_milli=LIMIT_CPU_MILLI))
    harness.cell.context.cell_count = CELLS
    return harness


def test_a_task_starts_while_its_account_holds_under_half_of_its_limit(make_harness):
    harness = in_one_of_cells(make_harness)
    lasting = {"count": 1, "cpu_milli": 5_000, "long_running": True}
    harness.submit("a" * 16, job_spec(lasting), account_name="a")
    harness.run(200)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 15_000}), account_name="a")
    harness.run(3_000)
    assert harness.starts_of(f"{JOB}.0.0.0")


def test_a_job_that_fits_the_limit_is_not_refused(make_harness):
    harness = in_one_of_cells(make_harness)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 20_000}), account_name="a")
    harness.run(200)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
