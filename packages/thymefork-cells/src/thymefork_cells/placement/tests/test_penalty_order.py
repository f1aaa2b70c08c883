"""What outweighs what where workers are uneven, as callers need it.

A task that disturbs users, or one on a worker that is likely bad, is worse than a late
one; a late one is worse than one in another hall; a step's tasks keep together before
fast room is kept; and nothing is drawn to a machine that is far slower for good.
"""

from types import SimpleNamespace

import pytest
from attrs import evolve

from thymefork_cells.placement.crash_isolation import CrashIsolation
from thymefork_cells.placement.worker_ranking import OTHER_HALL_PENALTY, fit_score
from thymefork_cells.specs import StepSpec
from thymefork_cells.state.worker_health import FAILURES_TO_QUARANTINE

from .test_speed_scorer import FAST, SLOW, fit, worker

SLACK_MS, TIGHT_MS, LATE_MS = 60_000.0, 1_400.0, -1.0
SPEC = StepSpec(count=1, cpu_milli=1_000, memory_mb=100, estimated_ms=850)


def score(spec, worker, left_ms, *, is_most_urgent=False):
    return fit_score(spec, worker, fit(left_ms, is_most_urgent=is_most_urgent))


def failed(slowness, failures):
    found = worker(2, slowness)
    found.health.failures_in_row = failures
    return found


@pytest.mark.parametrize("is_most_urgent", [True, False])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize(("sound", "bad"), [(FAST, SLOW), (SLOW, FAST)])
def test_a_worker_that_failed_repeatedly_comes_last(
    sound, bad, left_ms, is_most_urgent
):
    bad_one = failed(bad, FAILURES_TO_QUARANTINE)
    sound_score = score(SPEC, worker(1, sound), left_ms, is_most_urgent=is_most_urgent)
    assert sound_score < score(SPEC, bad_one, left_ms, is_most_urgent=is_most_urgent)


def test_one_failure_outweighs_fast_room_that_is_kept():
    sound_score = score(SPEC, worker(1, FAST), SLACK_MS)
    assert sound_score < score(SPEC, failed(SLOW, 1), SLACK_MS)


def test_one_failure_says_too_little_for_a_task_to_be_late():
    """Tasks fail by their own fault; a fast worker is not lost to urgent ones by it."""
    late_score = score(SPEC, worker(1, SLOW), TIGHT_MS)
    assert score(SPEC, failed(FAST, 1), TIGHT_MS) < late_score


@pytest.mark.parametrize("is_most_urgent", [True, False])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize("quiet", [SLOW, FAST, 15.0])
def test_users_are_not_disturbed_for_any_speed(quiet, left_ms, is_most_urgent):
    spec = evolve(SPEC, target_tail_ms=50)
    busy = worker(2, FAST if quiet != FAST else SLOW)
    filling = evolve(SPEC, fills_idle_cpu=True)
    busy.runs[("t", 1)] = SimpleNamespace(step=filling)
    quiet_score = score(spec, worker(1, quiet), left_ms, is_most_urgent=is_most_urgent)
    assert quiet_score < score(spec, busy, left_ms, is_most_urgent=is_most_urgent)


def test_a_step_keeps_together_before_it_leaves_fast_room():
    rate = fit(SLACK_MS, is_most_urgent=False).rate
    assert rate(worker(1, FAST)) < rate(worker(2, SLOW)) + OTHER_HALL_PENALTY


def test_a_step_leaves_its_hall_to_be_in_time():
    rate = fit(TIGHT_MS, is_most_urgent=False).rate
    assert rate(worker(1, FAST)) + OTHER_HALL_PENALTY < rate(worker(2, SLOW))


@pytest.mark.parametrize("slowness", [5.0, 15.0, 100.0])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_a_machine_that_is_far_slower_attracts_nothing(
    slowness, left_ms, is_most_urgent
):
    """It is taken after sound ones in any hall."""
    sick = score(SPEC, worker(0, slowness), left_ms, is_most_urgent=is_most_urgent)
    for sound in (SLOW, 1.0, FAST):
        sound_score = score(
            SPEC, worker(1, sound), left_ms, is_most_urgent=is_most_urgent
        )
        assert sound_score + OTHER_HALL_PENALTY < sick


def test_a_suspected_task_is_tried_on_a_sound_worker_first():
    step = SimpleNamespace(spec=SPEC, job=None)
    assert CrashIsolation.rate(step, worker(1, SLOW)) < CrashIsolation.rate(
        step, worker(0, 15.0)
    )


def test_a_gang_takes_no_machine_that_is_far_slower_before_others():
    rate = fit(SLACK_MS, is_most_urgent=False).rate
    assert max(rate(worker(1, s)) for s in (SLOW, 1.0, FAST)) < rate(worker(0, 15.0))


def test_data_on_another_rack_counts_as_the_time_that_it_takes():
    """A slow worker that is in time with the data near may be too slow without."""
    spec = evolve(SPEC, preferred_rack="r")
    near = worker(1, FAST)
    near.entry = evolve(near.entry, rack="r")
    assert score(spec, near, 2_600.0) < score(spec, worker(2, SLOW), 2_600.0)
