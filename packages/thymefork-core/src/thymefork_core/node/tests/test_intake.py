"""Submissions, joins and cancellations at one instance."""

from thymefork_core.model import Outcome, WorkKind
from thymefork_core.node import messages as m
from thymefork_core.reasons import Reason

from .conftest import make_spec


def submit(world, name, *specs, request_id="r1"):
    world.tell(name, m.SubmitRequest(request_id=request_id, specs=specs))


def cancel(world, name, work_id, request_id="c1"):
    world.tell(name, m.CancelRequest(request_id=request_id, work_ids=(work_id,)))


def test_cancel_before_the_accepting_record_landed_keeps_the_caller_waiting(world):
    """A cancel used to answer the submitter before its work was accepted."""
    spec = make_spec(world, "early", run_ms=5000)
    submit(world, "h-1", spec)
    cancel(world, "h-1", "early")
    assert "early" not in world.answers
    world.run(2000)
    answers = world.answers["early"]
    assert len(answers) == 2
    assert {a.reason for a in answers} == {Reason.CANCELLED}
    assert world.starts_of("early") == []


def test_cancel_of_an_unknown_work_is_unknown(world):
    cancel(world, "h-1", "nobody")
    (answer,) = world.answers["nobody"]
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, Reason.UNKNOWN_WORK)
    assert answer.come_back_at_ms > world.now_ms


def test_another_spec_under_the_same_id_is_refused(world):
    submit(world, "h-1", make_spec(world, "same"))
    world.run(1000)
    submit(world, "h-2", make_spec(world, "same", run_ms=7), request_id="r2")
    first, second = world.answers["same"]
    assert first.outcome is Outcome.DONE
    assert second.reason is Reason.DUPLICATE_SPEC


def test_an_unknown_team_is_refused(world):
    submit(world, "h-1", make_spec(world, "w", team="nobody"))
    assert world.answers["w"][0].reason is Reason.UNKNOWN_TEAM


def test_an_id_older_than_the_window_is_not_said_not_to_have_run(world):
    old_ms = world.now_ms - world.limits.work_window_ms - 1
    submit(world, "h-1", make_spec(world, "old", submitted_at_ms=old_ms))
    (answer,) = world.answers["old"]
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, Reason.TOO_OLD)


def test_work_beyond_its_teams_quota_never_fits(world):
    spec = make_spec(world, "gang", team="small", kind=WorkKind.JOB, tasks=3)
    submit(world, "h-1", spec)
    assert world.answers["gang"][0].reason is Reason.NEVER_FITS


def test_a_team_never_runs_more_than_its_quota(world):
    specs = [make_spec(world, f"q{i}", team="small", run_ms=400) for i in range(8)]
    submit(world, "h-1", *specs)
    most = 0
    for _ in range(400):
        world.run(10)
        running = [a for w in world.workers.values() for a in w.running]
        most = max(most, len(running))
    assert most == 2
    assert all(world.answers[f"q{i}"][0].outcome is Outcome.DONE for i in range(8))


def test_failing_work_ends_after_bounded_attempts(world):
    for worker in world.workers.values():
        worker.fails_all = True
    submit(world, "h-1", make_spec(world, "bad"))
    world.run(20_000)
    (answer,) = world.answers["bad"]
    assert (answer.outcome, answer.exit_codes) == (Outcome.DONE, (1,))
    assert len(world.starts_of("bad")) == 3
