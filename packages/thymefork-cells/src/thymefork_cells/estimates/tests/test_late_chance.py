"""The chance of being late by a worker's speed."""

from types import SimpleNamespace

import pytest

from thymefork_cells.estimates import (
    LateChance,
    late_chance,
    spread,
    worker_speeds,
)

SLOW, FAST = (SimpleNamespace(slowness=value) for value in (1.43, 0.59))


@pytest.mark.parametrize(
    ("left_ms", "suitable", "needs_speed"),
    [
        (1_500.0, [FAST], True),  # only the fast one meets it
        (8_000.0, [SLOW, FAST], False),  # there is time for both
        (100.0, [SLOW, FAST], False),  # late on both
        (-5.0, [SLOW, FAST], False),
    ],
)
def test_who_suits(left_ms, suitable, needs_speed):
    chance = LateChance(usual_ms=850.0, left_ms=left_ms)
    assert chance.suitable([SLOW, FAST]) == suitable
    assert chance.needs_speed([SLOW, FAST]) is needs_speed
    assert 0.0 <= chance.on(FAST) <= chance.on(SLOW) <= 1.0


def test_no_workers_suit_nobody():
    chance = LateChance(usual_ms=850.0, left_ms=1_000.0)
    assert chance.suitable([]) == []
    assert not chance.needs_speed([])


def test_tasks_of_an_image_differ_more_than_those_of_one_of_its_steps():
    """Learning goes by steps, the chance of being late by images."""
    assert spread.RUN_VARIANCE < spread.IMAGE_DEVIATION**2
    assert late_chance.IMAGE_DEVIATION == spread.IMAGE_DEVIATION
    assert worker_speeds.RUN_VARIANCE == spread.RUN_VARIANCE


def test_each_distinct_speed_is_judged_once(monkeypatch):
    """A wide service has many workers and few speeds."""
    judged = []
    at = LateChance.at
    monkeypatch.setattr(
        LateChance, "at", lambda self, s: judged.append(s) or at(self, s)
    )
    chance = LateChance(usual_ms=850.0, left_ms=1_500.0)
    assert chance.suitable([SLOW, FAST] * 320) == [FAST] * 320
    assert sorted(judged) == sorted({SLOW.slowness, FAST.slowness})
