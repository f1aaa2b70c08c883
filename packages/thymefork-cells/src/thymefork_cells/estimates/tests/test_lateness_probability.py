"""The chance of being late by a worker's speed."""

from types import SimpleNamespace

import pytest

from thymefork_cells.estimates import (
    LatenessProbability,
    duration_variance,
    lateness_probability,
    worker_speeds,
)

SLOW, FAST = (SimpleNamespace(slowness=value) for value in (1.43, 0.59))


@pytest.mark.parametrize(
    ("left_ms", "suitable", "needs_fast_worker"),
    [
        (1_500.0, [FAST], True),  # only the fast one meets it
        (8_000.0, [SLOW, FAST], False),  # there is time for both
        (100.0, [SLOW, FAST], False),  # late on both
        (-5.0, [SLOW, FAST], False),
    ],
)
def test_who_suits(left_ms, suitable, needs_fast_worker):
    lateness = LatenessProbability(usual_ms=850.0, left_ms=left_ms)
    assert lateness.suitable([SLOW, FAST]) == suitable
    assert lateness.needs_fast_worker([SLOW, FAST]) is needs_fast_worker
    assert 0.0 <= lateness.for_worker(FAST) <= lateness.for_worker(SLOW) <= 1.0


def test_no_workers_suit_nobody():
    lateness = LatenessProbability(usual_ms=850.0, left_ms=1_000.0)
    assert lateness.suitable([]) == []
    assert not lateness.needs_fast_worker([])


def test_tasks_of_an_image_differ_more_than_those_of_one_of_its_steps():
    """Learning goes by steps, the chance of being late by images."""
    assert duration_variance.RUN_VARIANCE < duration_variance.IMAGE_DEVIATION**2
    assert lateness_probability.IMAGE_DEVIATION == duration_variance.IMAGE_DEVIATION
    assert worker_speeds.RUN_VARIANCE == duration_variance.RUN_VARIANCE


def test_each_distinct_speed_is_judged_once(monkeypatch):
    """A wide service has many workers and few speeds."""
    judged = []
    for_slowness = LatenessProbability.for_slowness
    monkeypatch.setattr(
        LatenessProbability,
        "for_slowness",
        lambda self, s: judged.append(s) or for_slowness(self, s),
    )
    lateness = LatenessProbability(usual_ms=850.0, left_ms=1_500.0)
    assert lateness.suitable([SLOW, FAST] * 320) == [FAST] * 320
    assert sorted(judged) == sorted({SLOW.slowness, FAST.slowness})
