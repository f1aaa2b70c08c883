"""Tests of timers on the steady clock."""

import time
from pathlib import Path

import pytest

import thymefork_net
from thymefork_net import SteadyTimers, steady, steady_ms


def test_timers_fire_in_order_and_can_be_cancelled(loop):
    fired = []
    now_ms = steady_ms()
    loop.timers.at(now_ms + 30, lambda: fired.append("b"))
    loop.timers.at(now_ms + 10, lambda: fired.append("a"))
    cancelled = loop.timers.at(now_ms + 20, lambda: fired.append("never"))
    loop.timers.cancel(cancelled)
    loop.run_until(lambda: len(fired) == 2)
    assert fired == ["a", "b"]


def test_change_of_the_system_time_does_not_affect_timers(loop, monkeypatch):
    fired = []
    monkeypatch.setattr(time, "time", lambda: 0.0)
    loop.timers.after(20, lambda: fired.append(1))
    loop.run_until(lambda: fired)


def test_failing_timer_does_not_stop_the_others(loop):
    fired = []
    loop.timers.after(5, lambda: 1 / 0)
    loop.timers.after(10, lambda: fired.append(1))
    loop.run_until(lambda: fired)


def test_steady_clock_includes_suspended_time(monkeypatch):
    """Leases, memberships and deadlines must expire while the machine is suspended."""
    monotonic_ms, before_ms = time.monotonic() * 1000.0, steady_ms()
    read = time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 5.0, time.CLOCK_REALTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + suspended_s.get(clock, 0.0)
    )
    assert time.monotonic() * 1000.0 - monotonic_ms < 1_000.0
    assert 5_000.0 <= steady_ms() - before_ms < 6_000.0


def test_timer_that_was_due_during_a_suspension_fires_at_once(loop, monkeypatch):
    fired = []
    loop.timers.after(4_000.0, lambda: fired.append(1))
    read = time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + suspended_s.get(clock, 0.0)
    )
    loop.run_until(lambda: fired)


def test_no_module_reads_a_clock_without_suspended_time():
    """The monotonic clock stops while the machine is suspended."""
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


class FakeEvent:
    """Record how long the loop may sleep, as the event of circuits does."""

    time_left_s = 10.0

    def reduce_time_left(self, time_left_s):
        self.time_left_s = min(self.time_left_s, time_left_s)


def count_wake_ups(monkeypatch, timers, clock, for_ms):
    """Run timers on a simulated clock and return the number of wake-ups."""
    wake_ups, end_ms = 0, clock[0] + for_ms
    while True:
        event = FakeEvent()
        timers._on_generate_events(event)
        clock[0] += max(event.time_left_s * 1_000.0, 0.001)
        if clock[0] >= end_ms:
            return wake_ups
        wake_ups += 1


@pytest.fixture
def clock(monkeypatch):
    clock = [50_000.0]
    monkeypatch.setattr(steady, "steady_ms", lambda: clock[0])
    return clock


def test_periodic_timers_share_wake_ups(monkeypatch, clock):
    """Separate wake-ups for each timer would cost CPU time in idle instances."""
    timers = SteadyTimers()
    called = {}
    for number, period_ms in enumerate((50, 50, 100, 100, 100, 250, 1_000)):
        called[number] = []
        timers.every(period_ms, lambda n=number: called[n].append(clock[0]))
        clock[0] += 7.3
    assert count_wake_ups(monkeypatch, timers, clock, 10_000.0) <= 10_000 / 50 + 1
    counts = [len(times) for times in called.values()]
    wanted = [200, 200, 100, 100, 100, 40, 10]
    assert all(abs(a - b) <= 1 for a, b in zip(counts, wanted, strict=True))


def test_periodic_timer_skips_calls_missed_during_a_pause(monkeypatch, clock):
    timers, called = SteadyTimers(), []
    timers.every(100.0, lambda: called.append(clock[0]))
    count_wake_ups(monkeypatch, timers, clock, 1_000.0)
    before = len(called)
    clock[0] += 5_000.0
    count_wake_ups(monkeypatch, timers, clock, 1_000.0)
    assert len(called) - before <= 12


def test_processes_use_different_timer_phases(monkeypatch, clock):
    """Processes on one machine must not all wake up at the same time."""
    moments = set()
    for _ in range(20):
        timers, called = SteadyTimers(), []
        timers.every(100.0, lambda called=called: called.append(clock[0]))
        count_wake_ups(monkeypatch, timers, clock, 300.0)
        moments.add(round(called[0] % 100.0, 3))
    assert len(moments) > 10
