"""Tests of how many stops are sent to a worker at a time."""

import pytest

from thymefork_cells.effects import StopRun

from .harness import job_spec

JOB, OTHER = "00000000000000aa", "00000000000000bb"
# After the acknowledgement: 3 s to cancel and 0.2 s to stop.
STOPPED_WITHIN_MS = 3_200
TASKS = 150


def cancel_many(harness, *, latency_ms):
    """Cancel a job with many tasks on one worker, which also runs another job's."""
    harness.workers["w0"].work_ms = 600_000.0
    for job_id, count in ((OTHER, 1), (JOB, TASKS)):
        step = {"count": count, "cpu_milli": 50, "long_running": True}
        harness.submit(job_id, job_spec(step))
        harness.run(400)
    assert len(harness.job(JOB).runs) == TASKS
    harness.command_latency_ms = lambda effect: (
        latency_ms if isinstance(effect, StopRun) else 1.0
    )
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)


def running_jobs(harness):
    return {task.split(".")[0] for task, _ in harness.running()}


def record_stops(harness):
    """Return a list that holds the greatest number of stops in flight."""
    peak, in_flight = [0], set()
    transport_stop, answer = harness.transport.stop, harness.cell.on_stop_answer

    def stop(cell, effect):
        in_flight.add(effect.run.key)
        peak[0] = max(peak[0], len(in_flight))
        return transport_stop(cell, effect)

    def on_stop_answer(run, result, *, now_ms):
        in_flight.discard(run.key)
        answer(run, result, now_ms=now_ms)

    harness.transport.stop, harness.cell.on_stop_answer = stop, on_stop_answer
    return peak


@pytest.mark.parametrize("latency_ms", [2.0, 20.0, 150.0, 199.0])
def test_many_stops_are_carried_out_in_time(make_harness, latency_ms):
    """Guards against tasks that run on because stops wait for each other."""
    harness = make_harness(workers=1)
    cancel_many(harness, latency_ms=latency_ms)
    harness.run(STOPPED_WITHIN_MS)
    assert running_jobs(harness) == {OTHER}


def test_slow_stops_get_more_connections_than_fast_ones(make_harness):
    """Guards against a connection for each stop to a worker that needs few."""
    peaks = []
    for latency_ms in (2.0, 20.0, 150.0):
        harness = make_harness(workers=1)
        peak = record_stops(harness)
        cancel_many(harness, latency_ms=latency_ms)
        harness.run(STOPPED_WITHIN_MS)
        peaks += peak
    assert peaks == sorted(peaks) and peaks[0] < 10 < peaks[-1] < TASKS / 2


def test_unanswered_stops_get_no_more_connections(make_harness):
    """Guards against connections for all stops to a worker that does not respond."""
    harness = make_harness(workers=1)
    peak = record_stops(harness)
    cancel_many(harness, latency_ms=2.0)
    harness.disconnect_worker(harness.workers["w0"], for_ms=8_000.0)
    harness.run(8_000)
    assert 0 < peak[0] < 10


def test_stops_leave_connections_for_others(make_harness):
    """Guards against stops that take all of a process's sockets."""
    harness = make_harness(workers=1)
    harness.cell.context.stop_slots = 6
    peak = record_stops(harness)
    cancel_many(harness, latency_ms=199.0)
    harness.run(8_000)
    assert peak == [6]
    assert running_jobs(harness) == {OTHER}


def test_stop_that_begins_while_others_wait_is_in_time(make_harness):
    """Guards against a queue in which later stops are sent before due ones."""
    harness = make_harness(workers=1)
    cancel_many(harness, latency_ms=150.0)
    harness.run(500)
    harness.cell.intake.cancel("cancel other", OTHER, now_ms=harness.now)
    harness.run(STOPPED_WITHIN_MS - 500)
    assert running_jobs(harness) <= {OTHER}
    harness.run(500)
    assert not harness.running()
