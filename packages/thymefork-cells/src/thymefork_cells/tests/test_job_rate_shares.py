"""One account that sends far more than its share beside others that keep to theirs.

The pattern: an account sends several times its usual for seconds while the cell is
full. What the others get is compared with what they get without it.
"""

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


def ends_of(harness, account_name):
    """Return when an account's jobs ended after their acceptance."""
    return [
        job.ended_ms - job.accepted_ms if job.ended_ms else float("inf")
        for job in harness.cell.context.jobs.values()
        if job.account_name == account_name
    ]


def play(harness, *, flood, for_s=6, queue="q"):
    """Let a1 send one job each 0.5 s and a0 several at once each 0.1 s."""
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
    return ends_of(harness, "a1")


def test_a_flood_takes_nothing_from_those_within_their_share(make_harness):
    alone = play(make_harness(workers=4), flood=0)
    beside = play(make_harness(workers=4), flood=4)
    late = [ms for ms in beside if ms > max(alone) + 900]
    assert not late  # each waits for at most one task to end


def test_a_flood_of_urgent_work_does_not_hold_up_less_urgent_shares(make_harness):
    """What is beyond a share runs after all shares, whatever its queue's priority."""
    beside = play(make_harness(workers=4), flood=4, queue="batch")
    assert max(beside) < 3_000


def test_unused_shares_are_lent(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(1, 50))
    for number in range(8):
        submit(harness, number, "a0")
    harness.run(100)
    running = {task.split(".")[0] for task, _ in harness.running()}
    assert len(running) == 4  # four workers of eight cores, eight for each job


def test_a_short_group_of_jobs_is_within_the_share(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(12):
        submit(harness, number, "a0")
    beyond = [job.is_beyond_share for job in harness.cell.context.jobs.values()]
    assert beyond == [False] * 11 + [True]


def test_a_share_comes_back_with_time(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(20):
        submit(harness, number, "a0")
    harness.run(1_000)
    submit(harness, 20, "a0")
    assert not harness.job(f"{20:016x}").is_beyond_share


def test_a_new_owner_judges_the_jobs_that_still_live(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(5))
    for number in range(14):
        submit(harness, number, "a0")
    harness.run(50)
    harness.take_over()
    beyond = [job.is_beyond_share for job in harness.cell.context.jobs.values()]
    assert sum(beyond) == 3


@pytest.mark.parametrize("weights", [(), (0,)])
def test_without_a_share_all_are_within(make_harness, weights):
    harness = make_harness(workers=4)
    use_accounts(harness, *accounts(*weights))
    for number in range(30):
        submit(harness, number, "a0" if weights else "")
    assert not any(job.is_beyond_share for job in harness.cell.context.jobs.values())
