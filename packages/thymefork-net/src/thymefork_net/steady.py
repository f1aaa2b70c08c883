"""Timers on the steady clock, which changes of the system time do not affect."""

import heapq
import random
import time
from itertools import count

from circuits import BaseComponent, handler
from loguru import logger

__all__ = ["SteadyTimers", "steady_ms"]


# Unlike CLOCK_MONOTONIC, this clock includes the time that the machine was suspended;
# otherwise an owner could act on leases that expired meanwhile.
_CLOCK = time.CLOCK_BOOTTIME
# Each process offsets its periodic timers by a random phase of up to the longest period
# in use, so that the processes of a machine do not all wake up at once.
_MAX_PHASE_MS = 1_000.0
# A timer may fire early by a rounding error; it must not fire twice in its period.
_ROUNDING_TOLERANCE_MS = 0.5


def steady_ms():
    """Return the steady clock in milliseconds, including time spent suspended."""
    return time.clock_gettime(_CLOCK) * 1000.0


class SteadyTimers(BaseComponent):
    """Call functions at given times of the steady clock.

    Unlike `circuits.Timer`, they are not affected by changes of the system time.
    """

    channel = "steady-timers"

    def init(self):
        """Initialize without timers."""
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
        """Call `action` after `delay_ms`; return the timer's id."""
        return self.at(steady_ms() + delay_ms, action)

    def every(self, period_ms, action):
        """Call `action` periodically, at each multiple of `period_ms`.

        All periodic timers are aligned to the same phase, so that one wake-up serves
        several of them. Calls that were missed during a pause are skipped.
        """

        def fire():
            try:
                action()
            finally:
                self.at(self._next_ms(period_ms), fire)

        return self.at(self._next_ms(period_ms), fire)

    def _next_ms(self, period_ms):
        """Return the next multiple of a period."""
        since_ms = steady_ms() - self._phase_ms + _ROUNDING_TOLERANCE_MS
        return self._phase_ms + (since_ms // period_ms + 1) * period_ms

    def cancel(self, timer_id):
        """Cancel a timer; ignore an unknown id."""
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
        logger.opt(exception=True).bind(event="timer_failed").error(
            "timer callback failed"
        )
