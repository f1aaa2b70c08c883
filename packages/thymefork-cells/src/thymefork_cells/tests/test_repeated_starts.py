"""Starts that are repeated at their worker, or found by a next owner, and then arrive.

Guards against a task twice on an incarnation that has answered nobody yet.
"""

import pytest

from thymefork_cells.effects import StartRun

from .run_invariants import tasks_run_twice
from .test_delayed_starts import (
    LATENESSES_MS,
    MAX_STALL_MS,
    STEP,
    WORK_MS,
    submit_with_delayed_start,
)


# Guards against two runs at once: two late starts of a task reach one incarnation.
def test_repeated_start_does_not_run_beside_first(make_harness):
    harness = make_harness(workers=2)
    first = submit_with_delayed_start(harness, STEP, 1_200.0, later_runs_refused=False)
    first.run_until(first.sent_ms + 10.0)
    sent_ms = []

    def delay_ms(effect):
        if not isinstance(effect, StartRun) or sent_ms:
            return 0.0
        sent_ms.append(harness.now)
        return first.arrives_ms + 0.3 - harness.now

    harness.command_delay_ms = delay_ms
    first.restart_worker_before_arrival()
    assert sent_ms and first.has_begun
    harness.run(MAX_STALL_MS + WORK_MS)
    assert not tasks_run_twice(harness)


# Guards against a task twice: the next owner learns of the restart before any answer.
@pytest.mark.parametrize("lateness_ms", LATENESSES_MS)
def test_start_of_previous_owner_does_not_run_after_known_restart(
    make_harness, lateness_ms
):
    harness = make_harness(workers=2)
    late = submit_with_delayed_start(harness, STEP, lateness_ms)
    harness.is_owner_down = True
    harness.run(80)
    harness.take_over()
    late.restart_worker()
    harness.run(400)
    late.restart_worker_before_arrival()
    harness.run(MAX_STALL_MS + WORK_MS)
    assert not tasks_run_twice(harness)
