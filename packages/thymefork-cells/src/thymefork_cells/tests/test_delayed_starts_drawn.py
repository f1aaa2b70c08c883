"""Drawn days of workers that restart under their ids while starts come late.

Guards against tasks begun twice: a start that got no answer is carried out by the next
incarnation of its worker, though its task has run elsewhere meanwhile.
"""

import pytest
from attrs import evolve

from .delayed_start_cases import DelayedStartCase, DelayedStartDay, begun_twice
from .harness import job_spec

JOB = "00000000000000aa"

# Neither a job whose task could run nor a long-running task stands still for longer.
BOUNDS_MS = {"max_standstill_ms": 3_000.0, "max_long_running_ms": 6_000.0}

KINDS = {
    "alone": {},
    "new-owners": {"has_takeovers": True},
    "gangs": {"gang_share": 0.5},
    "two-steps": {"two_step_share": 0.5},
    "long-running": {"long_running_jobs": 8},
    "mixed": {
        "has_takeovers": True,
        "gang_share": 0.3,
        "two_step_share": 0.4,
        "long_running_jobs": 4,
    },
    "all-answered": {"lateness_ms": None, "has_takeovers": True},
}
SEEDS = {
    "alone": (
        *(24, 35, 36, 76, 102, 127, 140, 142, 150, 153, 193, 210, 249, 324),
        *(0, 1, 2),
    ),
    "new-owners": (36, 58, 88, 94, 113, 122, 394, 0),
    "gangs": (9, 125, 195, 0),
    "two-steps": (30, 59, 96, 0),
    "long-running": (24, 210, 269, 0),
    "mixed": (3, 23, 206, 212, 244, 258, 0),
    "all-answered": (0, 1),
}
CASES = [(kind, seed) for kind, seeds in SEEDS.items() for seed in seeds]


def run_day(make_harness, kind, seed):
    case = DelayedStartCase(seed=seed, **KINDS[kind])
    return DelayedStartDay(case=case, harness=make_harness(workers=12)).run()


@pytest.mark.parametrize(("kind", "seed"), CASES)
def test_no_late_start_begins_a_task_twice(make_harness, kind, seed):
    """Guards against late starts on next incarnations, and against mends that stall."""
    result = run_day(make_harness, kind, seed)
    assert result.restarts and result.starts_unanswered, (kind, seed, result)
    broken = result.broken_invariants(**BOUNDS_MS)
    assert not broken, f"{kind} {seed}: {broken}; {result.summary()}"


@pytest.mark.parametrize(
    ("after_ms", "how", "is_twice"),
    [(-100.0, "done", True), (100.0, "done", True), (100.0, "stopped", False)],
)
def test_second_run_of_a_task_is_found(make_harness, after_ms, how, is_twice):
    """Guards against a check that finds nothing."""
    harness = make_harness(workers=2)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(2_000)
    first_worker = next(one for one in harness.workers.values() if one.history)
    (first,) = first_worker.history
    assert first.is_acknowledged and not begun_twice(harness)
    first.how = how
    began_ms = first.ended_ms + after_ms
    second = evolve(first, run_id=2, began_ms=began_ms, ended_ms=began_ms + 10.0)
    first_worker.history.append(second)
    assert bool(begun_twice(harness)) == is_twice
