"""Timelines from saved logs."""

import orjson
import pytest
from typer.testing import CliRunner

from thymefork_cli.explain import explain_subject
from thymefork_cli.log_lines import read_lines
from thymefork_cli.main import app

JOB = "00000000000000aa"


def line(second, event, **fields):
    at = f"2026-12-02T10:00:{second:02d}.000+00:00"
    return {"at": at, "event": event, "instance": "edge-1", "cell": 0, **fields}


ENDED = line(
    9,
    "job_ended",
    job=JOB,
    state="succeeded",
    after_ms=8000,
    reason="every task is done",
)


def test_job_without_delays():
    lines = [line(1, "job_accepted", job=JOB), ENDED]
    timeline = explain_subject(JOB, lines)
    assert timeline.cause == "succeeded after 8000 ms: every task is done"


def test_late_job_shows_objective_and_longest_wait():
    ended = {**ENDED, "objective_ms": 2_000}
    start = line(2, "tasks_start", job=JOB, step=f"{JOB}.0.0", waited_ms=900)
    cause = explain_subject(JOB, [line(1, "job_accepted", job=JOB), start, ended]).cause
    assert "late: its objective was about 2000 ms" in cause
    assert cause.endswith("the longest wait for a start was 900 ms")


def test_earlier_refused_attempts_are_shown():
    given_up = line(0, "request_given_up", job=JOB, kind="submit", reason="no_owner")
    cause = explain_subject(JOB, [given_up, ENDED]).cause
    assert "earlier attempts were refused: no_owner" in cause


def test_change_of_owner_is_shown():
    lines = [line(1, "job_accepted", job=JOB), line(2, "ownership_lost"), ENDED]
    assert "the cell lost its owner" in explain_subject(JOB, lines).cause


def test_failed_runs_are_shown_with_their_workers():
    failed = line(3, "run_ended", task=f"{JOB}.0.0.1", how="failed", worker="i-7")
    timeline = explain_subject(JOB, [line(1, "job_accepted", job=JOB), failed, ENDED])
    assert "1 runs failed on i-7" in timeline.cause


def test_refused_request_is_shown_with_its_reason():
    given_up = line(
        2,
        "request_given_up",
        job=JOB,
        kind="submit",
        reason="no_owner",
        outcome="refused",
    )
    cause = explain_subject(JOB, [given_up]).cause
    assert cause == "refused: no_owner when submit was requested"


def test_late_job_shows_its_longest_step():
    """A late job must not be explained by a short wait alone."""
    lines = [line(1, "job_accepted", job=JOB)]
    for second, step in ((2, 0), (3, 1)):
        name = f"{JOB}.0.{step}"
        lines.append(line(second, "tasks_start", job=JOB, step=name, waited_ms=50))
    cause = explain_subject(JOB, [*lines, ENDED]).cause
    assert f"{JOB}.0.1 took longest, 6000 ms from its first start" in cause


def test_request_that_was_only_refused_is_explained():
    refused = line(
        2, "request_refused", job=JOB, kind="submit", outcome="refused", after_ms=3
    )
    cause = explain_subject(JOB, [refused, refused]).cause
    assert cause.startswith("refused after 3 ms, 2 times: its cell's owner")


def test_task_has_its_own_timeline():
    other = line(2, "run_ended", task=f"{JOB}.0.0.2", how="done")
    own_line = line(3, "run_ended", task=f"{JOB}.0.0.1", how="done")
    timeline = explain_subject(f"{JOB}.0.0.1", [other, own_line])
    assert timeline.lines == (own_line,)


def test_unknown_id_is_reported():
    assert "no line names this id" in explain_subject(JOB, []).cause


@pytest.mark.parametrize("as_json", [False, True])
def test_command_reads_logs_with_other_text_before_the_json(tmp_path, as_json):
    log = tmp_path / "a.log"
    text = orjson.dumps(ENDED).decode()
    log.write_text(f"   9.1 edge-1 {text}\nnot a line\n{{cut off\n")
    assert len(read_lines([log])) == 1
    arguments = ["explain", JOB, str(log)] + (["--json"] if as_json else [])
    done = CliRunner().invoke(app, arguments)
    assert done.exit_code == 0
    assert "every task is done" in done.stdout.splitlines()[-1]
