"""Order of the placement penalties on heterogeneous workers.

Interference and repeated failures outweigh lateness, lateness outweighs another hall,
and the hall outweighs the use of fast workers.
"""

from types import SimpleNamespace

import pytest
from attrs import evolve

from thymefork_cells.placement.crash_isolation import CrashIsolation
from thymefork_cells.placement.worker_ranking import OTHER_HALL_PENALTY, fit_score
from thymefork_cells.specs import StepSpec
from thymefork_cells.state.worker_health import FAILURES_TO_PAUSE

from .test_speed_scorer import FAST, SLOW, make_scorer, worker

SLACK_MS, TIGHT_MS, LATE_MS = 60_000.0, 1_400.0, -1.0
SPEC = StepSpec(count=1, cpu_milli=1_000, memory_mb=100, estimated_ms=850)


def score(spec, worker, left_ms, *, is_most_urgent=False):
    return fit_score(spec, worker, make_scorer(left_ms, is_most_urgent=is_most_urgent))


def failed(slowness, failures):
    failed_worker = worker(2, slowness)
    failed_worker.health.failures_in_row = failures
    return failed_worker


@pytest.mark.parametrize("is_most_urgent", [True, False])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize(("healthy", "failing"), [(FAST, SLOW), (SLOW, FAST)])
def test_worker_with_repeated_failures_is_last(
    healthy, failing, left_ms, is_most_urgent
):
    failing_worker = failed(failing, FAILURES_TO_PAUSE)
    healthy_score = score(
        SPEC, worker(1, healthy), left_ms, is_most_urgent=is_most_urgent
    )
    assert healthy_score < score(
        SPEC, failing_worker, left_ms, is_most_urgent=is_most_urgent
    )


def test_single_failure_outweighs_use_of_fast_worker():
    healthy_score = score(SPEC, worker(1, FAST), SLACK_MS)
    assert healthy_score < score(SPEC, failed(SLOW, 1), SLACK_MS)


def test_lateness_outweighs_single_failure():
    """A single failure may be the task's own fault."""
    late_score = score(SPEC, worker(1, SLOW), TIGHT_MS)
    assert score(SPEC, failed(FAST, 1), TIGHT_MS) < late_score


@pytest.mark.parametrize("is_most_urgent", [True, False])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize("quiet", [SLOW, FAST, 15.0])
def test_interference_outweighs_any_speed(quiet, left_ms, is_most_urgent):
    spec = evolve(SPEC, target_tail_ms=50)
    busy = worker(2, FAST if quiet != FAST else SLOW)
    filling = evolve(SPEC, fills_idle_cpu=True)
    busy.runs[("t", 1)] = SimpleNamespace(step=filling)
    quiet_score = score(spec, worker(1, quiet), left_ms, is_most_urgent=is_most_urgent)
    assert quiet_score < score(spec, busy, left_ms, is_most_urgent=is_most_urgent)


def test_same_hall_outweighs_use_of_fast_worker():
    rate = make_scorer(SLACK_MS, is_most_urgent=False).rate
    assert rate(worker(1, FAST)) < rate(worker(2, SLOW)) + OTHER_HALL_PENALTY


def test_lateness_outweighs_same_hall():
    rate = make_scorer(TIGHT_MS, is_most_urgent=False).rate
    assert rate(worker(1, FAST)) + OTHER_HALL_PENALTY < rate(worker(2, SLOW))


@pytest.mark.parametrize("slowness", [5.0, 15.0, 100.0])
@pytest.mark.parametrize("left_ms", [SLACK_MS, TIGHT_MS, LATE_MS])
@pytest.mark.parametrize("is_most_urgent", [True, False])
def test_far_slower_worker_is_last(slowness, left_ms, is_most_urgent):
    """Healthy workers come first in any hall."""
    far_slower_score = score(
        SPEC, worker(0, slowness), left_ms, is_most_urgent=is_most_urgent
    )
    for healthy in (SLOW, 1.0, FAST):
        healthy_score = score(
            SPEC, worker(1, healthy), left_ms, is_most_urgent=is_most_urgent
        )
        assert healthy_score + OTHER_HALL_PENALTY < far_slower_score


def test_crash_suspect_prefers_healthy_worker():
    step = SimpleNamespace(spec=SPEC, job=None)
    assert CrashIsolation.rate(step, worker(1, SLOW)) < CrashIsolation.rate(
        step, worker(0, 15.0)
    )


def test_gang_uses_far_slower_worker_last():
    rate = make_scorer(SLACK_MS, is_most_urgent=False).rate
    assert max(rate(worker(1, s)) for s in (SLOW, 1.0, FAST)) < rate(worker(0, 15.0))


def test_remote_data_counts_as_longer_duration():
    """A slow worker may be in time only with the data on its rack."""
    spec = evolve(SPEC, preferred_rack="r")
    same_rack = worker(1, FAST)
    same_rack.entry = evolve(same_rack.entry, rack="r")
    assert score(spec, same_rack, 2_600.0) < score(spec, worker(2, SLOW), 2_600.0)
