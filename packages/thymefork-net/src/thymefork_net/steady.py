"""Timers on the steady clock, which no change of the time of day moves."""

import heapq
import random
import time
from itertools import count

from circuits import BaseComponent, handler
from loguru import logger

__all__ = ["SteadyTimers", "steady_ms"]


# The clock that no change of the time of day moves and that counts the time for which
# the machine was suspended: the store, the workers and callers went on meanwhile, so by
# a clock that stands still an owner would act on leases that are long over.
_CLOCK = time.CLOCK_BOOTTIME
# Each process draws the moment that its periods are counted from, within this time, so
# that those on one machine do not all wake at once: the longest period in use.
_MAX_PHASE_MS = 1_000.0
# A timer may be called by a rounding error before its moment; its next one is a period
# later all the same.
_ROUNDING_TOLERANCE_MS = 0.5


def steady_ms():
    """Return the steady clock in milliseconds, with the time spent suspended."""
    return time.clock_gettime(_CLOCK) * 1000.0


class SteadyTimers(BaseComponent):
    """Call functions at moments of the steady clock.

    `circuits.Timer` reads the time of day, so nothing here uses it.
    """

    channel = "steady-timers"

    def init(self):
        """Start without timers."""
        self._heap = []
        self._actions = {}
        self._ids = count(1)
        self._phase_ms = random.uniform(0.0, _MAX_PHASE_MS)

    def at(self, due_ms, action):
        """Call `action` once the steady clock reaches `due_ms`; return its id."""
        timer_id = next(self._ids)
        self._actions[timer_id] = action
        heapq.heappush(self._heap, (due_ms, timer_id))
        return timer_id

    def after(self, delay_ms, action):
        """Call `action` once `delay_ms` have passed; return its id."""
        return self.at(steady_ms() + delay_ms, action)

    def every(self, period_ms, action):
        """Call `action` again and again, at each multiple of `period_ms`.

        The multiples are counted from one moment for all, so that one wake-up serves
        every timer that is due by then. Moments that a pause has missed are passed
        over.
        """

        def fire():
            try:
                action()
            finally:
                self.at(self._next_ms(period_ms), fire)

        return self.at(self._next_ms(period_ms), fire)

    def _next_ms(self, period_ms):
        """Return the first multiple of a period that is still to come."""
        since_ms = steady_ms() - self._phase_ms + _ROUNDING_TOLERANCE_MS
        return self._phase_ms + (since_ms // period_ms + 1) * period_ms

    def cancel(self, timer_id):
        """Forget a timer; an unknown id is passed over."""
        self._actions.pop(timer_id, None)

    @handler("generate_events", priority=10)
    def _on_generate_events(self, event):
        now_ms = steady_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            _, timer_id = heapq.heappop(self._heap)
            action = self._actions.pop(timer_id, None)
            if action is not None:
                _call(action)
        while self._heap and self._heap[0][1] not in self._actions:
            heapq.heappop(self._heap)
        if self._heap:
            left_ms = max(0.0, self._heap[0][0] - steady_ms())
            event.reduce_time_left(left_ms / 1000.0)


def _call(action):
    try:
        action()
    except Exception:
        logger.opt(exception=True).bind(event="timer_failed").error("a timer failed")
