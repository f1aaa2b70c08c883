"""Logs and metrics: bounded, and never blocking."""

import os
import re
from pathlib import Path

import orjson
import pytest
from loguru import logger

from thymefork_cells import effects as fx
from thymefork_daemon.capacity import SheddableWork
from thymefork_daemon.owner.effect_executor import EffectExecutor
from thymefork_daemon.telemetry import LogRateLimiter, Metrics
from thymefork_daemon.telemetry.logs import MAX_BUFFERED_BYTES, LogWriter


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def writer(pipe):
    writer = LogWriter(descriptor=pipe[1], common_fields={"instance": "edge-1"})
    logger.remove()
    logger.add(writer.sink, level="INFO", format="")
    yield writer
    logger.remove()


def read(pipe):
    return [orjson.loads(row) for row in os.read(pipe[0], 1_000_000).splitlines()]


def test_line_has_its_fields_and_both_clocks(writer, pipe):
    logger.bind(event="job_ended", job="aa", after_ms=12).info("done")
    (line,) = read(pipe)
    assert line["event"] == "job_ended" and line["after_ms"] == 12
    assert line["instance"] == "edge-1" and line["steady_ms"] > 0
    assert line["at"].endswith("+00:00")


def test_error_line_has_a_trace(writer, pipe):
    try:
        raise ValueError("why")
    except ValueError:
        logger.opt(exception=True).bind(event="failed").error("it failed")
    (line,) = read(pipe)
    assert "why" in line["error"] and line["trace"]


# Guards against lines that are lost for one field, and with them what they would tell.
@pytest.mark.parametrize("odd", [10**300, -(10**30), "agent-\udce9", [10**300]])
def test_line_with_odd_field_keeps_its_other_fields(writer, pipe, odd):
    os.set_blocking(pipe[0], False)
    logger.bind(event="job_ended", odd=odd, counts={"a": 1}).info("done")
    (line,) = read(pipe)
    assert line["event"] == "job_ended" and line["text"] == "done"
    assert line["counts"] == {"a": 1} and line["odd"] == ascii(odd)


def test_stalled_reader_does_not_block(writer, pipe):
    for number in range(20_000):
        writer._write(b"x" * 100 + b"%d\n" % number)
    assert writer.dropped > 0
    assert writer._buffered_bytes <= MAX_BUFFERED_BYTES


def test_lines_over_the_limit_are_counted(writer, pipe):
    for _ in range(500):
        logger.bind(event="run_ended").info("x")
    writer.summarize()
    lines = read(pipe)
    assert len(lines) < 200
    assert lines[-1]["event"] == "lines_left_out"
    assert lines[-1]["counts"]["run_ended"] >= 300


def test_errors_are_allowed_beyond_the_limit_of_infos():
    limiter = LogRateLimiter()
    for number in range(1_000):
        limiter.allows(f"event-{number % 50}", "INFO", 5.0)
    assert not limiter.allows("other", "INFO", 5.0)
    assert limiter.allows("failure", "ERROR", 5.0)
    assert limiter.allows("other", "INFO", 6.0)


def test_metrics_use_the_prometheus_text_format():
    metrics = Metrics()
    metrics.count("refusals", "store_away")
    metrics.count("refusals", "store_away")
    metrics.observe("append", 12.0)
    text = metrics.text().decode()
    assert 'thymefork_refusals_total{reason="store_away"} 2.0' in text
    assert 'thymefork_append_ms_bucket{kind="",le="20"} 1.0' in text
    assert 'thymefork_append_ms_bucket{kind="",le="10"} 0.0' in text


def test_label_values_are_limited():
    metrics = Metrics()
    for number in range(1_000):
        metrics.count("retries", f"reason-{number}")
    assert metrics.text().count(b"thymefork_retries_total{") <= 201


def test_routine_events_do_not_suppress_ownership_events():
    """A change of ownership must not fall to the limit on routine events."""
    limiter = LogRateLimiter()
    for event in ("tasks_start", "run_ended", "job_ended", "worker_listed"):
        for _ in range(100):
            limiter.allows(event, "INFO", 1.0)
    assert not limiter.allows("step_waits", "INFO", 1.0)
    assert limiter.allows("ownership_gained", "INFO", 1.0)


@pytest.mark.parametrize("method", ["count", "observe"])
def test_every_counter_and_histogram_is_declared(method):
    """An undeclared counter raises in the owner that uses it."""
    packages = Path(__file__).parents[4]
    texts = [path.read_text() for path in packages.glob("thymefork-[cd]*/src/**/*.py")]
    pattern = rf"(?:metrics|context)\.{method}\(\s*\"(\w+)\""
    names = {name for text in texts for name in re.findall(pattern, text)}
    assert names
    for name in names:
        getattr(Metrics(), method)(name, 1)


def test_failing_effect_does_not_stop_the_others():
    executor = EffectExecutor(
        cell_index=0,
        metrics=Metrics(),
        advice_dispatcher=None,
        command_sender=None,
        on_ends_stored=None,
        announce_ends=None,
        announce_leases=None,
        announce_speeds=None,
    )
    replies = []
    reply = fx.Reply(reply_to=replies.append, outcome=fx.Outcome.ACCEPTED)
    executor.execute([object(), reply])
    assert replies == [reply]


def test_task_events_do_not_suppress_job_events():
    """Every job's acceptance and end have to be in the log."""
    limiter = LogRateLimiter()
    allowed = 0
    for number in range(1_000):
        limiter.allows(
            ("tasks_start", "run_ended", "step_waits")[number % 3], "INFO", 1.0
        )
        if number % 10 == 0:
            event = "job_accepted" if number % 20 else "job_ended"
            allowed += limiter.allows(event, "INFO", 1.0)
    assert allowed == 100
    assert not all(limiter.allows("job_ended", "INFO", 1.0) for _ in range(200))


def test_overloaded_owner_suppresses_routine_lines_only(writer, pipe):
    metrics = Metrics()
    executor = EffectExecutor(
        cell_index=0,
        metrics=metrics,
        advice_dispatcher=None,
        command_sender=None,
        on_ends_stored=None,
        announce_ends=None,
        announce_leases=None,
        announce_speeds=None,
        sheds=lambda kind: kind is SheddableWork.LOG_LINES,
    )
    replies = []
    executor.execute(
        [
            fx.Note(event="tasks_start"),
            fx.Note(event="job_ended"),
            fx.Note(event="worker_unreadable", level="WARNING"),
            fx.Reply(reply_to=replies.append, outcome=fx.Outcome.COUNTED),
        ]
    )
    events = [line["event"] for line in read(pipe)]
    assert events == ["job_ended", "worker_unreadable"]
    assert replies
    assert b'thymefork_owner_shed_total{reason="log_lines"} 1.0' in metrics.text()


def test_gauges_are_exported():
    metrics = Metrics()
    metrics.set("owner_tier", 3)
    assert b"thymefork_owner_tier 3.0" in metrics.text()
