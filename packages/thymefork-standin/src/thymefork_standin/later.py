"""Calling functions later, from one component."""

import heapq
import time
from itertools import count

from circuits import BaseComponent, handler

__all__ = ["Later"]


class Later(BaseComponent):
    """Hold functions with the time at which to call each."""

    channel = "later"

    def init(self):
        """Prepare an empty schedule."""
        self._heap = []
        self._order = count()

    def call(self, delay_s, function):
        """Call a function after a delay."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), function))

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event):
        while self._heap and self._heap[0][0] <= time.monotonic():
            heapq.heappop(self._heap)[2]()
            event.reduce_time_left(0)  # what it fired must not wait for the poller
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - time.monotonic()))
