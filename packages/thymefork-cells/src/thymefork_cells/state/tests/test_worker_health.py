"""Pauses and probation of workers by the failures of their runs."""

from attrs import define

from thymefork_cells.state import WorkerHealth
from thymefork_cells.state.worker_health import PAUSE_MS, PROBE_MS

NOW_MS = 1_000.0


@define(kw_only=True, eq=False)
class Step:
    fails_everywhere: bool = False


@define(kw_only=True, eq=False)
class Run:
    began_ms: float = NOW_MS
    is_live: bool = True


def test_two_failures_pause_a_worker():
    health, step = WorkerHealth(), Step()
    assert not health.failed(step, NOW_MS)
    assert health.failed(step, NOW_MS)
    assert health.paused_until_ms == NOW_MS + PAUSE_MS


def test_failures_of_a_step_that_fails_everywhere_do_not_count():
    health, step = WorkerHealth(), Step(fails_everywhere=True)
    assert not any(health.failed(step, NOW_MS) for _ in range(5))
    assert not health.failures_in_row


def test_withdrawn_failures_end_the_pause():
    health, step, other = WorkerHealth(), Step(), Step()
    for failed in (other, step, step):
        health.failed(failed, NOW_MS)
    assert health.withdraw_failures(step)
    assert not health.on_probation
    assert health.failures_in_row == 1


def test_withdrawing_nothing_keeps_another_pause():
    """Guards against ending the pause of a worker on which runs stall."""
    health = WorkerHealth()
    health.pause(NOW_MS)
    assert not health.withdraw_failures(Step())
    assert health.on_probation


def test_failures_of_other_steps_keep_the_pause():
    health, step, other = WorkerHealth(), Step(), Step()
    for failed in (other, other, step):
        health.failed(failed, NOW_MS)
    assert not health.withdraw_failures(step)
    assert health.on_probation


def test_probe_ends_probation_once_it_has_worked_for_a_while():
    health = WorkerHealth()
    health.pause(NOW_MS)
    health.started(Run())
    health.check_probe(NOW_MS + PROBE_MS - 1)
    assert health.awaits_probe
    health.check_probe(NOW_MS + PROBE_MS)
    assert not health.awaits_probe
    assert not health.on_probation


def test_unconfirmed_probe_gives_no_verdict():
    health = WorkerHealth()
    health.pause(NOW_MS)
    health.started(Run(is_live=False))
    health.check_probe(NOW_MS + 10 * PROBE_MS)
    assert health.awaits_probe
