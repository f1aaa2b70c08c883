"""Scores by worker speed, and the selection of workers for advice."""

import random
from types import SimpleNamespace

import pytest

from thymefork_cells.advice import choose_workers
from thymefork_cells.estimates import LatenessProbability
from thymefork_cells.placement import SpeedScorer
from thymefork_cells.placement.worker_ranking import OTHER_HALL_PENALTY
from thymefork_cells.specs import StepSpec, WorkerEntry
from thymefork_cells.state import Worker

SLOW, FAST = 1.4641, 0.6209
USUAL_MS = 850.0


def worker(number, slowness, hall="a"):
    entry = WorkerEntry(
        worker_id=f"w{number}",
        machine_id=f"m{number}",
        host="10.0.0.1",
        port=1,
        service="s",
        hall=hall,
        cpu_milli=16_000,
        memory_mb=32_000,
    )
    return Worker(entry=entry, slowness=slowness)


def make_scorer(left_ms, *, is_most_urgent=True):
    lateness = LatenessProbability(usual_ms=USUAL_MS, left_ms=left_ms)
    return SpeedScorer(lateness=lateness, is_most_urgent=is_most_urgent)


@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_task_in_time_only_on_fast_worker_goes_there(
    is_most_urgent,
):
    rate = make_scorer(1_400.0, is_most_urgent=is_most_urgent).rate
    assert rate(worker(0, SLOW)) > rate(worker(1, FAST)) + OTHER_HALL_PENALTY


@pytest.mark.parametrize("left_ms", [10_000.0, -1.0])
@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_task_in_time_or_late_everywhere_avoids_fast_workers(left_ms, is_most_urgent):
    rate = make_scorer(left_ms, is_most_urgent=is_most_urgent).rate
    assert rate(worker(0, SLOW)) < rate(worker(1, FAST))


def test_metric_labels_distinguish_tight_from_slack_objectives():
    workers = [worker(0, SLOW), worker(1, FAST)]
    tight = make_scorer(1_400.0).metric_labels(workers)
    assert tight == {SLOW: "tight_on_slow", FAST: "tight_on_fast"}
    slack = make_scorer(10_000.0).metric_labels(workers)
    assert slack == {SLOW: "slack_on_slow", FAST: "slack_on_fast"}


def choose(left_ms):
    rng = random.Random(1)
    workers = [
        worker(number, FAST if number % 3 == 0 else SLOW, hall=rng.choice("abc"))
        for number in range(60)
    ]
    step = SimpleNamespace(
        spec=StepSpec(count=2, cpu_milli=8_000), name="j.0.0", denials_in_row=0
    )
    return choose_workers(
        step,
        workers,
        [],
        2,
        approval_rate=0.7,
        waited_ms=0.0,
        max_workers=100,
        lateness=LatenessProbability(usual_ms=USUAL_MS, left_ms=left_ms),
    )


def test_advice_is_requested_for_suitable_workers():
    """Guards against tickets for unsuitable workers only."""
    assert {chosen.slowness for chosen in choose(1_400.0)} == {FAST}
    assert {chosen.slowness for chosen in choose(10_000.0)} == {SLOW}
