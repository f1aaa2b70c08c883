"""Number of instances reserved for short calls to the advice service."""

from math import ceil

__all__ = ["ShortCallReserve"]

# Largest fraction of the instances that is reserved; used until the number of short
# calls is known.
MAX_FRACTION = 0.3
# Reserves this many times the recent peak, plus one, for bursts.
PEAK_FACTOR = 2
# A peak is replaced after this time.
PEAK_RETENTION_MS = 5_000.0


class ShortCallReserve:
    """Reserve as many instances for short calls as these needed recently.

    A fixed fraction would leave instances idle while long calls wait.
    """

    def __init__(self, *, now_ms):
        self._peak_in_flight = None
        self._peak_seen_ms = now_ms

    def record(self, in_flight, now_ms):
        """Record the number of short calls in flight."""
        is_stale = now_ms - self._peak_seen_ms > PEAK_RETENTION_MS
        is_peak = self._peak_in_flight is not None and in_flight >= self._peak_in_flight
        if is_stale or is_peak:
            self._peak_in_flight, self._peak_seen_ms = in_flight, now_ms

    def size(self, instances):
        """Return how many of the instances take only short calls."""
        max_size = max(1, ceil(MAX_FRACTION * instances))
        if self._peak_in_flight is None:
            return max_size
        return min(max_size, PEAK_FACTOR * self._peak_in_flight + 1)
