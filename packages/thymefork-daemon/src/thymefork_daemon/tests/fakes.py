"""Fakes of the components around the one under test."""

import heapq
from itertools import count
from types import SimpleNamespace

from thymefork_daemon import membership as membership_module
from thymefork_daemon.capacity import LoadShedder, OwnerLoad, Tier


class FakeTimers:
    """Timers on a fake clock."""

    def __init__(self):
        self.now_ms = 1_000.0
        self._heap = []
        self._ids = count(1)
        self._cancelled = set()

    def at(self, due_ms, action):
        timer_id = next(self._ids)
        heapq.heappush(self._heap, (due_ms, timer_id, action))
        return timer_id

    def after(self, delay_ms, action):
        return self.at(self.now_ms + delay_ms, action)

    def every(self, period_ms, action):
        def again():
            action()
            self.after(period_ms, again)

        return self.after(period_ms, again)

    def cancel(self, timer_id):
        self._cancelled.add(timer_id)

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, timer_id, action = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            if timer_id not in self._cancelled:
                action()
        self.now_ms = end_ms


class FakeMetrics:
    def __init__(self):
        self.counts = []

    def count(self, name, reason, amount=1):
        self.counts.append((name, reason))

    def observe(self, name, value_ms, kind=""):
        pass


class FailsOnceListener:
    """Listener that raises at its first call and records the later ones."""

    def __init__(self):
        self.failures = 0
        self.notifications = []

    def __call__(self, *arguments):
        if not self.failures:
            self.failures += 1
            raise RuntimeError("a listener failed")
        self.notifications += arguments or [None]


class FakeStore:
    """Record calls for the test to answer; a leave is answered at once."""

    leave_answer = None

    def __init__(self):
        self.appends = []
        self.joins = []
        self.owner_calls = []
        self.left = []

    def append(self, **fields):
        self.appends.append(fields)

    def join(self, **fields):
        self.joins.append(fields)

    def owners(self, *, group, on_result):
        self.owner_calls.append(on_result)

    def leave(self, *, group, member_id, on_done):
        self.left.append(member_id)
        on_done(self.leave_answer)


def capacity_attributes(*, tier=Tier.FULL):
    """Return the attributes of a daemon that describe its capacity to own cells."""
    load = OwnerLoad(link_mbps=0.0)
    return {
        "capacity": SimpleNamespace(tier=tier),
        "owner_load": SimpleNamespace(load=load, load_shedder=LoadShedder(load=load)),
        "handover": SimpleNamespace(best_tier=lambda: None),
    }


def patch_clock(monkeypatch, timers, *modules):
    """Let modules read the timers' clock."""
    for module in (membership_module, *modules):
        monkeypatch.setattr(module, "steady_ms", lambda: timers.now_ms)
