"""Accounts within their job rate share are not delayed by one that floods the cell."""

import pytest

from thymefork_cells.specs import AccountPolicy

from .harness import job_spec
from .test_accounts import use_accounts

LOOKUP = {"count": 4, "cpu_milli": 2_000, "estimated_ms": 800}


def accounts(*weights):
    return [
        AccountPolicy(name=f"a{number}", weight=weight)
        for number, weight in enumerate(weights)
    ]


def submit(harness, number, account_name, queue="q"):
    harness.submit(f"{number:016x}", job_spec(LOOKUP), queue, account_name=account_name)


def latencies_ms(harness, account_name):
    """Return the latency of an account's jobs."""
    return [
        job.ended_ms - job.accepted_ms if job.ended_ms else float("inf")
        for job in harness.cell.context.jobs.values()
        if job.account_name == account_name
    ]


def run_flood(harness, *, flood, for_s=6, queue="q"):
    """Submit a job of a1 every 0.5 s and `flood` jobs of a0 every 0.1 s."""
    use_accounts(harness, *accounts(2, 2))
    number = 0
    for tenth in range(10 * for_s):
        for _ in range(flood):
            number += 1
            submit(harness, number, "a0")
        if tenth % 5 == 0:
            number += 1
            submit(harness, number, "a1", queue)
        harness.run(100)
    harness.run(1_500)
    return latencies_ms(harness, "a1")


def test_flood_does_not_delay_accounts_within_their_share(make_harness):
    alone = run_flood(make_harness(workers=4), flood=0)
    beside = run_flood(make_harness(workers=4), flood=4)
    late = [ms for ms in beside if ms > max(alone) + 900]
    assert not late  # each waits for at most one task to end


def test_urgent_flood_does_not_delay_less_urgent_shares(make_harness):
    """Jobs beyond a share run after all others, whatever their queue's priority."""
    beside = run_flood(make_harness(workers=4), flood=4, queue="batch")
    assert max(beside) < 3_000


def test_unused_capacity_is_available_beyond_the_share(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(1, 50))
    for number in range(8):
        submit(harness, number, "a0")
    harness.run(100)
    running = {task.split(".")[0] for task, _ in harness.running()}
    assert len(running) == 4  # four workers of eight cores, eight for each job


def test_short_burst_is_within_the_share(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(12):
        submit(harness, number, "a0")
    beyond = [job.is_beyond_share for job in harness.cell.context.jobs.values()]
    assert beyond == [False] * 11 + [True]


def test_share_recovers_over_time(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(20):
        submit(harness, number, "a0")
    harness.run(1_000)
    submit(harness, 20, "a0")
    assert not harness.job(f"{20:016x}").is_beyond_share


def test_new_owner_reclassifies_live_jobs(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(14):
        submit(harness, number, "a0")
    harness.run(50)
    harness.take_over()
    beyond = [job.is_beyond_share for job in harness.cell.context.jobs.values()]
    assert sum(beyond) == 3


@pytest.mark.parametrize("weights", [(), (0,)])
def test_jobs_without_a_share_are_always_within(make_harness, weights):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(*weights))
    for number in range(30):
        submit(harness, number, "a0" if weights else "")
    assert not any(job.is_beyond_share for job in harness.cell.context.jobs.values())
