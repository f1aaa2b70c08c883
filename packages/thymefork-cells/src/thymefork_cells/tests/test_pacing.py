"""Tasks that fill idle processors are held back for neighbours, and let go again.

A task kept its pace for good where one order was lost, where the owner changed or where
the neighbour that it was held back for had gone: each order was taken for carried out
once it was issued, and given only beside a neighbour with users.
"""

import pytest

from thymefork_cells.effects import PaceRun

from .harness import job_spec

FILLER = "00000000000000f1"
SERVING = "00000000000000a1"
TARGET_MS = 100


@pytest.fixture
def harness(make_harness):
    """Run a task that fills beside one that serves users, on one worker."""
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 600_000.0
    filler = {"count": 1, "cpu_milli": 2_000, "fills_idle_cpu": True}
    serving = {"count": 1, "cpu_milli": 2_000, "target_tail_ms": TARGET_MS}
    harness.submit(FILLER, job_spec({**filler, "long_running": True}))
    harness.submit(SERVING, job_spec({**serving, "long_running": True}))
    harness.run(400)
    return harness


def pace(harness):
    return harness.workers["w0"].pace_percents[f"{FILLER}.0.0.0", 1]


def disturb(harness, tail_ms):
    harness.workers["w0"].tail_ms = tail_ms
    harness.run(1_500)


def test_a_task_that_disturbs_is_held_back_and_let_go(harness):
    disturb(harness, 2 * TARGET_MS)
    assert pace(harness) == 0
    disturb(harness, 10)
    assert pace(harness) == 100


def test_a_lost_order_to_hold_a_task_back_is_repeated(harness):
    lost = []

    def is_first(effect):
        if lost or not isinstance(effect, PaceRun):
            return False
        lost.append(effect)
        return True

    harness.is_command_lost = is_first
    disturb(harness, 2 * TARGET_MS)
    assert lost
    assert pace(harness) == 0


def test_a_successor_lets_a_task_go_that_its_predecessor_held_back(harness):
    disturb(harness, 2 * TARGET_MS)
    harness.workers["w0"].tail_ms = 10
    harness.take_over()
    harness.run(1_500)
    assert pace(harness) == 100


def test_a_task_is_let_go_once_nobody_is_disturbed_any_more(harness):
    disturb(harness, 2 * TARGET_MS)
    harness.cell.intake.cancel("cancel", SERVING, now_ms=harness.now)
    harness.run(1_500)
    assert pace(harness) == 100
