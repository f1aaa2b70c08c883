"""Lateness probability by worker speed."""

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
        (1_500.0, [FAST], True),  # only in time on the fast worker
        (8_000.0, [SLOW, FAST], False),  # in time on both
        (100.0, [SLOW, FAST], False),  # late on both
        (-5.0, [SLOW, FAST], False),
    ],
)
def test_suitable_workers_depend_on_time_left(left_ms, suitable, needs_fast_worker):
    lateness = LatenessProbability(usual_ms=850.0, left_ms=left_ms)
    assert lateness.suitable([SLOW, FAST]) == suitable
    assert lateness.needs_fast_worker([SLOW, FAST]) is needs_fast_worker
    assert 0.0 <= lateness.for_worker(FAST) <= lateness.for_worker(SLOW) <= 1.0


def test_no_workers_are_suitable_if_there_are_none():
    lateness = LatenessProbability(usual_ms=850.0, left_ms=1_000.0)
    assert lateness.suitable([]) == []
    assert not lateness.needs_fast_worker([])


def test_duration_variance_of_images_exceeds_that_of_steps():
    """Speeds are learned from steps, lateness is predicted from images."""
    assert duration_variance.RUN_VARIANCE < duration_variance.IMAGE_DEVIATION**2
    assert lateness_probability.IMAGE_DEVIATION == duration_variance.IMAGE_DEVIATION
    assert worker_speeds.RUN_VARIANCE == duration_variance.RUN_VARIANCE


def test_probability_is_computed_once_per_distinct_speed(monkeypatch):
    """Guards against cost per worker: many workers share few speeds."""
    computed = []
    for_slowness = LatenessProbability.for_slowness
    monkeypatch.setattr(
        LatenessProbability,
        "for_slowness",
        lambda self, s: computed.append(s) or for_slowness(self, s),
    )
    lateness = LatenessProbability(usual_ms=850.0, left_ms=1_500.0)
    assert lateness.suitable([SLOW, FAST] * 320) == [FAST] * 320
    assert sorted(computed) == sorted({SLOW.slowness, FAST.slowness})
