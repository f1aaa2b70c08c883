"""Acknowledgements of successes while an earlier start of the task may still arrive."""

import pytest

from .delayed_start import DelayedStart
from .harness import job_spec
from .run_invariants import tasks_run_twice
from .test_delayed_starts import JOB, STEP, WORK_MS, submit_with_delayed_start

# The soak's stand-in delays no call for longer.
LATEST_ARRIVAL_MS = 2_500.0
# Time for the polls that acknowledge an end once nothing is in the way.
ACKNOWLEDGEMENT_MS = 1_000.0
NEVER_MS = 100_000.0


def run_until_done(harness):
    """Return the run that succeeded beside an unanswered start, and that start."""
    late = submit_with_delayed_start(harness, STEP, NEVER_MS, later_runs_refused=False)
    while not harness.job(JOB).steps[0].is_done:
        harness.run(1)
        assert harness.now < late.sent_ms + LATEST_ARRIVAL_MS
    (run,) = late.worker.history
    assert run.how == "done"
    return run, late


# Guards against a task twice: an acknowledged task must not begin again.
def test_success_is_acknowledged_when_earlier_start_can_not_arrive(make_harness):
    harness = make_harness(workers=2)
    run, late = run_until_done(harness)
    late.run_until(late.sent_ms + LATEST_ARRIVAL_MS)
    assert not run.is_acknowledged
    harness.run(ACKNOWLEDGEMENT_MS)
    assert run.is_acknowledged


# Guards against a next owner that acknowledges what the one before withheld.
def test_next_owner_withholds_end(make_harness):
    harness = make_harness(workers=2)
    run, late = run_until_done(harness)
    harness.run(100)
    harness.is_owner_down = True
    harness.run(100)
    harness.take_over()
    late.run_until(late.sent_ms + LATEST_ARRIVAL_MS)
    assert not run.is_acknowledged and late.worker.ended
    harness.run(LATEST_ARRIVAL_MS + ACKNOWLEDGEMENT_MS)
    assert not late.worker.ended


# Guards against ends of a next incarnation that are never acknowledged.
def test_ends_of_next_incarnation_are_acknowledged(make_harness):
    harness = make_harness(workers=1)
    _, late = run_until_done(harness)
    late.restart_worker()
    harness.run(100)
    harness.submit("00000000000000bb", job_spec(STEP))
    harness.run(WORK_MS + ACKNOWLEDGEMENT_MS)
    assert late.worker.history[-1].is_acknowledged


# Guards against a job whose success callers learn late, since its end is withheld.
def test_job_is_shown_as_succeeded_while_end_is_withheld(make_harness):
    harness = make_harness(workers=2)
    run_until_done(harness)
    harness.run(100)
    assert harness.job(JOB).visible_state == "succeeded"


# Guards against gang members on different workers than the start that may arrive.
@pytest.mark.parametrize("count", [2, 3])
def test_gang_starts_again_where_a_start_is_unanswered(make_harness, count):
    harness = make_harness(workers=4)
    harness.simulate_gangs(bounds=harness.bounds)
    step = {"count": count, "cpu_milli": 5_000, "gang": True}
    late = submit_with_delayed_start(harness, step, NEVER_MS, later_runs_refused=False)
    assert isinstance(late, DelayedStart)
    harness.run(LATEST_ARRIVAL_MS)
    ((worker_id, _, began_ms),) = harness.starts_of(late.key[0])
    assert worker_id == late.worker.worker_id
    assert began_ms < late.sent_ms + LATEST_ARRIVAL_MS
    assert not tasks_run_twice(harness) and not harness.violations
