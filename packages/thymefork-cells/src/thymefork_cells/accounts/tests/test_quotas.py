"""Guards against plans whose cost grows with the jobs that wait for their account."""

import random

import pytest

from thymefork_cells.accounts.quotas import MAX_BLOCKED_STEPS
from thymefork_cells.specs import AccountPolicy, Configuration, ResourceLimit
from thymefork_cells.state import AccountUsage
from thymefork_cells.tests.harness import Harness, job_spec

LIMIT = ResourceLimit(cpu_milli=4_000, memory_mb=8_000)


def harness_with(jobs):
    """Return a harness whose jobs, rows of account, count, cpu and memory, all wait."""
    harness = Harness(workers=2, cpu_milli=16_000)
    harness.take_over()
    accounts = (
        AccountPolicy(name="a", limit=LIMIT),
        AccountPolicy(name="b", limit=ResourceLimit(cpu_milli=1_500)),
    )
    harness.cell.on_configuration(Configuration(version=2, accounts=accounts))
    for number, (account, count, cpu_milli, memory_mb) in enumerate(jobs):
        step = {"count": count, "cpu_milli": cpu_milli, "memory_mb": memory_mb}
        harness.submit(f"{number:016x}", job_spec(step), account_name=account)
    steps = [job.steps[0] for job in harness.cell.context.live_jobs.values()]
    for step in steps:
        step.ready = True
    return harness, steps


def naive_plannable(quotas, steps, now_ms):
    """Return the plannable steps by computing each anew."""
    usages, blocked, kept = {}, {}, []
    for step in steps:
        name = step.job.account_name
        if name:
            usage = usages.setdefault(name, AccountUsage(name=name))
            left = usage.tasks_allowed(step.spec, quotas.limit(step.job, now_ms))
            blocked[name] = blocked.get(name, 0) + (not left)
            if not left and blocked[name] > MAX_BLOCKED_STEPS:
                continue
            usage.add(step.spec, min(left, len(step.waiting)))
        kept.append(step)
    return kept


# Owners with thousands of waiting jobs of limited accounts were overloaded.
def test_steps_with_the_same_need_are_computed_once_at_the_limit(monkeypatch):
    harness, steps = harness_with([("a", 3, 500, 100)] * 1_000)
    calls = []
    compute = AccountUsage.tasks_allowed

    def count(usage, spec, limit):
        calls.append(spec)
        return compute(usage, spec, limit)

    monkeypatch.setattr(AccountUsage, "tasks_allowed", count)
    kept = harness.cell.quotas.plannable_steps(steps, harness.now)
    assert len(kept) == 3 + MAX_BLOCKED_STEPS
    assert len(calls) <= len(kept)


# What is remembered within a plan must not change what is planned.
@pytest.mark.parametrize("seed", range(20))
def test_plan_is_the_same_as_computed_step_by_step(seed):
    rng = random.Random(seed)
    jobs = [
        (
            rng.choice(("a", "b", "unknown", "")),
            rng.randint(1, 4),
            rng.choice((100, 500, 900, 3_000)),
            rng.choice((0, 100, 4_000)),
        )
        for _ in range(150)
    ]
    harness, steps = harness_with(jobs)
    quotas = harness.cell.quotas
    expected = naive_plannable(quotas, steps, harness.now)
    assert quotas.plannable_steps(steps, harness.now) == expected
