"""Number of stops that are sent to one worker at a time."""

from collections import deque
from math import ceil

from attrs import define, field

__all__ = ["StopWindow"]

# Enough for a few stops. Each one at a time takes a connection.
MIN_SIZE = 4
# Factor by which each further outcome lets the estimated stop time decay.
DECAY = 0.9


@define(kw_only=True, eq=False)
class StopWindow:
    """Track the stops in flight to a worker, and those that wait for their turn.

    `in_flight` maps runs to when their stop was sent, `waiting` holds the others in
    the order in which they are sent. `size` is how many may be in flight.

    Units: `*_ms` on the steady clock; `stop_time_ms` is the time to a stop's outcome.
    """

    in_flight: dict = field(factory=dict)
    waiting: deque = field(factory=deque)
    size: int = MIN_SIZE
    stop_time_ms: float = 0.0

    @property
    def has_room(self):
        """Return whether another stop may be sent."""
        return len(self.in_flight) < self.size

    def resize(self, due_ms, now_ms, *, is_unresponsive):
        """Set the size so that stops with these due times, in order, are in time.

        More stops at a time would not reach a worker that does not respond.
        """
        self.size = MIN_SIZE
        if is_unresponsive or not self.stop_time_ms:
            return
        for count, one_due_ms in enumerate(due_ms, start=1):
            left_ms = max(self.stop_time_ms, one_due_ms - now_ms - self.stop_time_ms)
            self.size = max(self.size, ceil(count * self.stop_time_ms / left_ms))

    def drop_sent_before(self, oldest_ms):
        """Drop stops that have been in flight for too long to get an outcome."""
        for run, sent_ms in list(self.in_flight.items()):
            if sent_ms <= oldest_ms:
                del self.in_flight[run]

    def record_stop_time(self, elapsed_ms):
        """Record how long a stop took; a slower one raises the estimate at once."""
        self.stop_time_ms = max(elapsed_ms, DECAY * self.stop_time_ms)
