"""Ratings by speed, and who is asked about and chosen by them."""

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


def fit(left_ms, *, is_most_urgent=True):
    lateness = LatenessProbability(usual_ms=USUAL_MS, left_ms=left_ms)
    return SpeedScorer(lateness=lateness, is_most_urgent=is_most_urgent)


@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_what_only_a_fast_worker_ends_in_time_goes_there_whatever_its_hall(
    is_most_urgent,
):
    rate = fit(1_400.0, is_most_urgent=is_most_urgent).rate
    assert rate(worker(0, SLOW)) > rate(worker(1, FAST)) + OTHER_HALL_PENALTY


@pytest.mark.parametrize("left_ms", [10_000.0, -1.0])
@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_what_is_in_time_or_late_everywhere_leaves_fast_workers(
    left_ms, is_most_urgent
):
    rate = fit(left_ms, is_most_urgent=is_most_urgent).rate
    assert rate(worker(0, SLOW)) < rate(worker(1, FAST))


def test_metric_labels_tell_what_a_start_means_to_fast_room():
    workers = [worker(0, SLOW), worker(1, FAST)]
    tight = fit(1_400.0).metric_labels(workers)
    assert tight == {SLOW: "tight_on_slow", FAST: "tight_on_fast"}
    slack = fit(10_000.0).metric_labels(workers)
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


def test_the_policy_is_asked_about_workers_that_suit():
    """With permission for slow workers only, there would be nothing to choose."""
    assert {chosen.slowness for chosen in choose(1_400.0)} == {FAST}
    assert {chosen.slowness for chosen in choose(10_000.0)} == {SLOW}
