"""Dominant shares of accounts, and the fair order of their steps."""

import pytest

from thymefork_cells.accounts.dominant_shares import (
    STARVATION_MS,
    USAGE_DECAY_MS,
    DominantShares,
)
from thymefork_cells.context import CellContext
from thymefork_cells.specs import AccountPolicy, Bounds, Configuration, WorkerEntry
from thymefork_cells.state import Job, Worker
from thymefork_cells.tests.harness_defaults import job_spec

CAPACITY = {"cpu_milli": 100_000, "memory_mb": 100_000}


def make_shares(**weights):
    accounts = tuple(
        AccountPolicy(name=name, weight=weight) for name, weight in weights.items()
    )
    context = CellContext(
        cell=0,
        epoch=1,
        cell_count=1,
        bounds=Bounds(),
        taken_over_ms=0.0,
        configuration=Configuration(version=1, queues=(), accounts=accounts),
    )
    place = {"machine_id": "m", "host": "h", "port": 1, "service": "s", "hall": "h"}
    entry = WorkerEntry(worker_id="w", **place, **CAPACITY)
    context.workers["w"] = Worker(entry=entry)
    return context, DominantShares(context=context)


def make_job(context, name, number=0, *, count=1, cpu_milli=10_000, memory_mb=0):
    step = {"count": count, "cpu_milli": cpu_milli, "memory_mb": memory_mb}
    return Job.create(
        job_id=f"{name}{number}",
        queue_name="q",
        account_name=name,
        usage=context.usage_of(name),
        spec=job_spec(step),
        now_ms=0.0,
    )


def steps_of(jobs):
    return [step for job in jobs for step in job.steps]


def names(steps):
    return [step.job.account_name for step in steps]


def test_larger_resource_fraction_is_the_share():
    context, shares = make_shares(a=1, b=1)
    jobs = [make_job(context, "a"), make_job(context, "b", memory_mb=30_000)]
    for job in jobs:
        job.usage.add(job.spec.steps[0])
    shares.review(jobs, 0.0)
    assert shares.used("a") == pytest.approx(0.1)
    assert shares.used("b") == pytest.approx(0.3)


def test_past_usage_decays():
    context, shares = make_shares(a=1)
    job = make_job(context, "a", cpu_milli=50_000)
    job.usage.add(job.spec.steps[0])
    shares.review([job], 0.0)
    job.usage.remove(job.spec.steps[0])
    shares.review([job], USAGE_DECAY_MS)
    assert 0.1 < shares.used("a") < 0.25
    shares.review([job], 5 * USAGE_DECAY_MS)
    assert shares.used("a") < 0.01


def test_account_without_live_jobs_is_forgotten():
    context, shares = make_shares(a=1)
    job = make_job(context, "a")
    job.usage.add(job.spec.steps[0])
    shares.review([job], 0.0)
    shares.review([], 10.0)
    assert shares.used("a") == 0.0


def test_account_with_lowest_share_goes_first():
    context, shares = make_shares(a=1, b=1)
    held = make_job(context, "a", cpu_milli=20_000)
    held.usage.add(held.spec.steps[0])
    jobs = [make_job(context, name) for name in "ab"]
    shares.review(jobs, 0.0)
    assert names(shares.fair_order(steps_of(jobs))) == ["b", "a"]


def test_fair_order_follows_weights_and_step_sizes():
    context, shares = make_shares(a=1, b=3)
    jobs = [make_job(context, "a", number) for number in range(4)]
    jobs += [make_job(context, "b", number) for number in range(4)]
    shares.review(jobs, 0.0)
    ordered = names(shares.fair_order(steps_of(jobs)))
    assert sorted(ordered) == ["a"] * 4 + ["b"] * 4
    assert ordered[:5].count("b") == 3


def test_accounts_get_equal_tasks_whatever_the_job_width():
    context, shares = make_shares(a=1, b=1)
    jobs = [make_job(context, "a", number, count=8) for number in range(2)]
    jobs += [make_job(context, "b", number) for number in range(16)]
    shares.review(jobs, 0.0)
    ordered = names(shares.fair_order(steps_of(jobs)))
    assert ordered.index("a", ordered.index("a") + 1) >= 8


@pytest.mark.parametrize("holds", [False, True])
def test_account_that_holds_nothing_is_starved_after_delay(holds):
    context, shares = make_shares(a=1)
    job = make_job(context, "a")
    if holds:
        job.usage.add(job.spec.steps[0])
    for now_ms in (0.0, STARVATION_MS - 1.0):
        shares.review([job], now_ms)
        shares.record_waiting({"a"}, now_ms)
        assert not shares.is_starved("a", now_ms)
    assert shares.is_starved("a", STARVATION_MS) is not holds


def test_account_without_weight_is_not_tracked():
    context, shares = make_shares(a=0)
    job = make_job(context, "a")
    job.usage.add(job.spec.steps[0])
    shares.review([job], 0.0)
    shares.record_waiting({"a"}, 0.0)
    assert shares.used("a") == 0.0
    assert not shares.is_starved("a", 2 * STARVATION_MS)
