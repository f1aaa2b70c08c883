"""Guards against filler tasks that slow down serving tasks, or stay slowed down.

A filler must not keep a low pace after a lost command, a takeover or the end of the
serving task.
"""

import pytest

from thymefork_cells.effects import PaceRun

from .harness import job_spec

FILLER_JOB = "00000000000000f1"
SERVING_JOB = "00000000000000a1"
TARGET_MS = 100


@pytest.fixture
def harness(make_harness):
    """Return a harness with a filler and a serving task on one worker."""
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 600_000.0
    filler = {"count": 1, "cpu_milli": 2_000, "fills_idle_cpu": True}
    serving = {"count": 1, "cpu_milli": 2_000, "target_tail_ms": TARGET_MS}
    harness.submit(FILLER_JOB, job_spec({**filler, "long_running": True}))
    harness.submit(SERVING_JOB, job_spec({**serving, "long_running": True}))
    harness.run(400)
    return harness


def pace_percent(harness):
    return harness.workers["w0"].pace_percents[f"{FILLER_JOB}.0.0.0", 1]


def run_with_tail_latency(harness, tail_ms):
    harness.workers["w0"].tail_ms = tail_ms
    harness.run(1_500)


def test_filler_is_slowed_down_and_sped_up_again(harness):
    run_with_tail_latency(harness, 2 * TARGET_MS)
    assert pace_percent(harness) == 0
    run_with_tail_latency(harness, 10)
    assert pace_percent(harness) == 100


def test_lost_pace_command_is_repeated(harness):
    lost = []

    def is_first(effect):
        if lost or not isinstance(effect, PaceRun):
            return False
        lost.append(effect)
        return True

    harness.is_command_lost = is_first
    run_with_tail_latency(harness, 2 * TARGET_MS)
    assert lost
    assert pace_percent(harness) == 0


def test_next_owner_speeds_up_filler_again(harness):
    run_with_tail_latency(harness, 2 * TARGET_MS)
    harness.workers["w0"].tail_ms = 10
    harness.take_over()
    harness.run(1_500)
    assert pace_percent(harness) == 100


def test_filler_speeds_up_once_no_task_serves(harness):
    run_with_tail_latency(harness, 2 * TARGET_MS)
    harness.cell.intake.cancel("cancel", SERVING_JOB, now_ms=harness.now)
    harness.run(1_500)
    assert pace_percent(harness) == 100
