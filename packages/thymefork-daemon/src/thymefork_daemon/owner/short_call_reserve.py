"""How many instances are kept from long calls to the advice service."""

from math import ceil

__all__ = ["ShortCallReserve"]

# At most this share of the instances is kept for short calls, and until it was seen how
# many there are.
MAX_FRACTION = 0.3
# So many times as many as were under way at once are kept, and one more, so that a
# group of short calls finds some at once.
PEAK_FACTOR = 2
# What was under way at once counts for this long.
PEAK_RETENTION_MS = 5_000.0


class ShortCallReserve:
    """Keep as many instances for short calls as those have needed of late.

    Where long calls come without a pause, a fixed share leaves instances idle that
    they could use, and steps wait for their tickets for seconds: of 29 instances nine
    were kept, of which fewer than two had a short call under way (an owner's log).
    """

    def __init__(self, *, now_ms):
        self._peak_in_flight = None
        self._peak_seen_ms = now_ms

    def record(self, in_flight, now_ms):
        """Note how many short calls are under way."""
        is_stale = now_ms - self._peak_seen_ms > PEAK_RETENTION_MS
        is_peak = self._peak_in_flight is not None and in_flight >= self._peak_in_flight
        if is_stale or is_peak:
            self._peak_in_flight, self._peak_seen_ms = in_flight, now_ms

    def size(self, instances):
        """Return how many of some instances take short calls only."""
        max_size = max(1, ceil(MAX_FRACTION * instances))
        if self._peak_in_flight is None:
            return max_size
        return min(max_size, PEAK_FACTOR * self._peak_in_flight + 1)
