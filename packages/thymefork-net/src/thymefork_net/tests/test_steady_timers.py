"""Timers on the steady clock."""

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


def test_a_jump_of_the_time_of_day_moves_no_timer(loop, monkeypatch):
    fired = []
    monkeypatch.setattr(time, "time", lambda: 0.0)
    loop.timers.after(20, lambda: fired.append(1))
    loop.run_until(lambda: fired)


def test_a_failing_timer_does_not_stop_the_others(loop):
    fired = []
    loop.timers.after(5, lambda: 1 / 0)
    loop.timers.after(10, lambda: fired.append(1))
    loop.run_until(lambda: fired)


def test_the_time_for_which_the_machine_was_suspended_counts(monkeypatch):
    """A lease, a membership or a deadline must not outlast a sleep of the machine."""
    monotonic_ms, before_ms = time.monotonic() * 1000.0, steady_ms()
    read = time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 5.0, time.CLOCK_REALTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + suspended_s.get(clock, 0.0)
    )
    assert time.monotonic() * 1000.0 - monotonic_ms < 1_000.0
    assert 5_000.0 <= steady_ms() - before_ms < 6_000.0


def test_a_timer_whose_time_passed_in_a_sleep_is_due_at_once(loop, monkeypatch):
    fired = []
    loop.timers.after(4_000.0, lambda: fired.append(1))
    read = time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 5.0}
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read(clock) + suspended_s.get(clock, 0.0)
    )
    loop.run_until(lambda: fired)


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


class FakeEvent:
    """Take how long the loop may sleep, as the library's event does."""

    time_left_s = 10.0

    def reduce_time_left(self, time_left_s):
        self.time_left_s = min(self.time_left_s, time_left_s)


def count_wake_ups(monkeypatch, timers, clock, for_ms):
    """Sleep until the next timer again and again; return how often that was."""
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


def test_timers_that_repeat_share_their_wake_ups(monkeypatch, clock):
    """From the sweep at 300 instances, given up for its processor time.

    An idle instance woke 62 to 83 times a second, each of its repeating timers at a
    moment of its own, and took 3 to 3.8% of a core. The quickest comes 20 times a
    second, and the others' periods are multiples of it.
    """
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


def test_a_timer_that_repeats_skips_what_a_pause_has_missed(monkeypatch, clock):
    timers, called = SteadyTimers(), []
    timers.every(100.0, lambda: called.append(clock[0]))
    count_wake_ups(monkeypatch, timers, clock, 1_000.0)
    before = len(called)
    clock[0] += 5_000.0
    count_wake_ups(monkeypatch, timers, clock, 1_000.0)
    assert len(called) - before <= 12


def test_instances_beat_at_moments_of_their_own(monkeypatch, clock):
    """Those on one machine share its clock, and must not all wake at once."""
    moments = set()
    for _ in range(20):
        timers, called = SteadyTimers(), []
        timers.every(100.0, lambda called=called: called.append(clock[0]))
        count_wake_ups(monkeypatch, timers, clock, 300.0)
        moments.add(round(called[0] % 100.0, 3))
    assert len(moments) > 10
