"""An account can use its whole limit from whichever cells its jobs are in.

Guards against jobs that wait, or are refused, because one cell's own parts of the limit
are too small or in use.
"""

from thymefork_cells.effects import Outcome

from .harness import job_spec
from .test_accounts import account, use_accounts

CELLS = 5
LIMIT_CPU_MILLI = 90_000
JOB = "b" * 16


def make_cell_among_several(make_harness):
    """Return one of several cells, with capacity for the account's whole limit."""
    harness = make_harness(workers=8, cpu_milli=32_000)
    use_accounts(harness, account(cpu_milli=LIMIT_CPU_MILLI))
    harness.cell.context.cell_count = CELLS
    return harness


def test_task_starts_if_account_uses_under_half_its_limit(make_harness):
    harness = make_cell_among_several(make_harness)
    long_running = {"count": 1, "cpu_milli": 5_000, "long_running": True}
    harness.submit("a" * 16, job_spec(long_running), account_name="a")
    harness.run(200)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 15_000}), account_name="a")
    harness.run(3_000)
    assert harness.starts_of(f"{JOB}.0.0.0")


def test_job_that_fits_the_whole_limit_is_accepted(make_harness):
    harness = make_cell_among_several(make_harness)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 20_000}), account_name="a")
    harness.run(200)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
