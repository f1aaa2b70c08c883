"""Timers on the steady clock."""

import time
from pathlib import Path

import thymefork_net
from thymefork_net import steady_ms


def test_timers_fire_in_order_and_can_be_cancelled(loop):
    fired = []
    now_ms = steady_ms()
    loop.timers.at(now_ms + 30, lambda: fired.append("b"))
    loop.timers.at(now_ms + 10, lambda: fired.append("a"))
    dropped = loop.timers.at(now_ms + 20, lambda: fired.append("never"))
    loop.timers.cancel(dropped)
    loop.until(lambda: len(fired) == 2)
    assert fired == ["a", "b"]


def test_a_jump_of_the_time_of_day_moves_no_timer(loop, monkeypatch):
    fired = []
    monkeypatch.setattr(time, "time", lambda: 0.0)
    loop.timers.after(20, lambda: fired.append(1))
    loop.until(lambda: fired)


def test_a_failing_timer_does_not_stop_the_others(loop):
    fired = []
    loop.timers.after(5, lambda: 1 / 0)
    loop.timers.after(10, lambda: fired.append(1))
    loop.until(lambda: fired)


def test_the_time_for_which_the_machine_was_suspended_counts(monkeypatch):
    """A lease, a membership or a deadline must not outlast a sleep of the machine."""
    awake_ms, before_ms = time.monotonic() * 1000.0, steady_ms()
    read = time.clock_gettime
    slept_s = {time.CLOCK_BOOTTIME: 5.0, time.CLOCK_REALTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + slept_s.get(clock, 0.0)
    )
    assert time.monotonic() * 1000.0 - awake_ms < 1_000.0
    assert 5_000.0 <= steady_ms() - before_ms < 6_000.0


def test_a_timer_whose_time_passed_in_a_sleep_is_due_at_once(loop, monkeypatch):
    fired = []
    loop.timers.after(4_000.0, lambda: fired.append(1))
    read = time.clock_gettime
    slept_s = {time.CLOCK_BOOTTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + slept_s.get(clock, 0.0)
    )
    loop.until(lambda: fired)


def test_decisions_read_no_clock_but_the_one_that_counts_sleep():
    """One clock module: any other reading would stand still while a machine sleeps."""
    root = Path(thymefork_net.__file__).parents[4]
    folders = (
        root / "packages/thymefork-net",
        root / "packages/thymefork-cells",
        root / "packages/thymefork-daemon",
        root / "platform",
    )
    readers = {
        str(path.relative_to(root))
        for folder in folders
        for path in folder.rglob("*.py")
        if "tests" not in path.parts and "monotonic" in path.read_text()
    }
    assert not readers
