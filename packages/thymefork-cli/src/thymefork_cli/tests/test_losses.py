"""Lost and late requests by cause from saved logs."""

import orjson
import pytest
from typer.testing import CliRunner

from thymefork_cli.losses import Cause, Outcome, find_losses
from thymefork_cli.main import app

JOB = "00000000000000aa"


def line(second, event, **fields):
    at = f"2026-12-02T10:00:{second:06.3f}+00:00"
    return {"at": at, "event": event, "instance": "edge-1", **fields}


def accepted(second):
    return line(second, "job_accepted", job=JOB, queue="q")


def ended(second, **fields):
    fields = {"state": "succeeded", "measured_objective_ms": 2_000, **fields}
    return line(second, "job_ended", job=JOB, queue="q", **fields)


def refused(second, reason):
    return line(second, "request_given_up", job=JOB, kind="submit", reason=reason)


WAITS = line(4, "step_waits", step=f"{JOB}.0.0", allowed=2, with_ticket=2)
AT_LIMIT = {**WAITS, "account": "a", "account_allows": 0}
BEYOND = {**WAITS, "account": "a", "account_allows": 5, "beyond_share": True}
NOT_ALLOWED = {**WAITS, "allowed": 0, "with_ticket": 0}
STARTED_LATE = line(5, "tasks_start", job=JOB, step=f"{JOB}.0.0", waited_ms=4_000)
FAILED = line(
    4, "run_ended", task=f"{JOB}.0.0.1", how="failed", after_ms=3_000, worker="i-7"
)
CRASHES = line(8, "task_crashes_workers", task=f"{JOB}.0.0.1", workers=["i-7"])
SILENT = line(4, "leases_expired", worker="i-7")


@pytest.mark.parametrize(
    "lines, outcome, cause",
    [
        ([refused(1, "no_owner")], Outcome.LOST, Cause.NO_OWNER),
        ([refused(1, "no_reply")], Outcome.LOST, Cause.NO_REPLY),
        (
            [accepted(1), line(2, "job_withdrawn", job=JOB)],
            Outcome.LOST,
            Cause.STORE_AWAY,
        ),
        ([accepted(1), ended(2, state="failed")], Outcome.LOST, Cause.FAILED),
        ([accepted(1), CRASHES, ended(9, state="failed")], Outcome.LOST, Cause.CRASHES),
        (
            [accepted(1), NOT_ALLOWED, line(40, "stopped")],
            Outcome.LOST,
            Cause.NOT_ALLOWED,
        ),
        ([accepted(1), WAITS, STARTED_LATE, ended(9)], Outcome.LATE, Cause.NO_ROOM),
        (
            [accepted(1), AT_LIMIT, STARTED_LATE, ended(9)],
            Outcome.LATE,
            Cause.ACCOUNT_LIMIT,
        ),
        (
            [accepted(1), BEYOND, STARTED_LATE, ended(9)],
            Outcome.LATE,
            Cause.BEYOND_SHARE,
        ),
        ([accepted(1), STARTED_LATE, ended(9)], Outcome.LATE, Cause.START),
        (
            [accepted(1), SILENT, STARTED_LATE, ended(9)],
            Outcome.LATE,
            Cause.SILENT_WORKER,
        ),
        ([accepted(1), FAILED, ended(9)], Outcome.LATE, Cause.RUNS_FAILED),
        (
            [refused(1, "no_owner"), accepted(5), ended(7)],
            Outcome.LATE,
            Cause.NO_OWNER,
        ),
        (
            [accepted(1), line(2, "ownership_gained"), ended(9)],
            Outcome.LATE,
            Cause.OWNER_REPLACED,
        ),
        ([accepted(1), ended(9)], Outcome.LATE, Cause.SLOW_RUNS),
    ],
)
def test_loss_is_attributed_to_the_longest_delay(lines, outcome, cause):
    losses = find_losses(lines)
    assert losses.requests == 1
    assert [(item.outcome, item.cause) for item in losses.items] == [(outcome, cause)]


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [accepted(1), ended(2)],
        [accepted(1), ended(9, state="cancelled")],
        [accepted(1), line(3, "stopped")],
        [line(1, "request_refused", job=JOB, kind="read")],
    ],
)
def test_jobs_without_a_loss_are_not_listed(lines):
    assert not find_losses(lines).items


@pytest.fixture
def log(tmp_path):
    file = tmp_path / "log"
    rows = [accepted(1), FAILED, ended(9)]
    file.write_bytes(b"\n".join(orjson.dumps(row) for row in rows))
    return file


def test_command_prints_a_table(log):
    result = CliRunner().invoke(app, ["explain", "--losses", str(log)])
    assert result.exit_code == 0
    assert "1 requests, 0 lost, 1 late" in result.output
    assert "runs of it failed" in result.output


def test_command_prints_json(log):
    result = CliRunner().invoke(app, ["explain", "--losses", str(log), "--json"])
    document = orjson.loads(result.output)
    assert document["by_cause"][0]["cause"] == "runs of it failed"


def test_command_draws_a_plot(log, tmp_path):
    plot = tmp_path / "losses.png"
    arguments = ["explain", "--losses", str(log), "--plot", str(plot)]
    result = CliRunner().invoke(app, arguments)
    assert result.exit_code == 0
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_missing_log_file_is_reported(tmp_path):
    result = CliRunner().invoke(app, ["explain", "--losses", str(tmp_path / "none")])
    assert result.exit_code == 2
    assert "No such file" in result.output


SUPPRESSED = line(3, "lines_left_out", counts={"job_ended": 2}, dropped=0)
DROPPED = line(3, "lines_left_out", counts={}, dropped=7)
OTHERS_SUPPRESSED = line(3, "lines_left_out", counts={"tasks_start": 9}, dropped=0)


@pytest.mark.parametrize("suppression_line", [SUPPRESSED, DROPPED])
def test_request_with_a_suppressed_end_is_unknown_not_lost(suppression_line):
    """Suppressed log lines must not be reported as losses."""
    submit = line(1, "request_refused", job=JOB, kind="submit", outcome="refused")
    losses = find_losses([submit, suppression_line, line(40, "stopped")])
    assert (losses.requests, losses.unknown, losses.items) == (1, 1, ())
    assert "1 unknown" in losses.text()
    assert losses.document()["unknown"] == 1


@pytest.mark.parametrize("other", [OTHERS_SUPPRESSED, line(0, "stopped"), SUPPRESSED])
def test_refusal_after_all_suppressed_lines_is_a_loss(other):
    losses = find_losses([other, refused(5, "no_owner"), line(40, "stopped")])
    assert losses.unknown == 0
    assert [item.cause for item in losses.items] == [Cause.NO_OWNER]
