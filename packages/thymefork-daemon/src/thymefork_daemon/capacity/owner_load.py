"""Load of an owner, derived from its own measurements."""

import math

from attrs import frozen

__all__ = ["OwnerLoad", "Pressure"]

# At these limits no time is left for the shortest latency objective of 250 ms, which
# includes a network round trip.
MAX_LAG_MS = 200.0
MAX_APPEND_MS = 200.0
MAX_QUEUED_MS = 200.0
# A process busier than this can't catch up after a burst.
MAX_BUSY_FRACTION = 0.95
# An append slower than this many joins is slow because of the owner, not the store.
APPEND_TO_JOIN_RATIO = 3.0
# Time constant of the moving average; keeps short bursts from counting as overload.
SMOOTHING_MS = 1_000.0
# Bounds the weight of a late sample, as after a pause of the process.
MAX_SAMPLE_INTERVAL_MS = 200.0
# Loads at which the overloaded state begins and ends.
OVERLOAD_ENTER, OVERLOAD_EXIT = 1.0, 0.5


@frozen(kw_only=True)
class Pressure:
    """Hold each measurement since the last sample, as a fraction of its limit."""

    lag: float = 0.0
    busy: float = 0.0
    append: float = 0.0
    queued: float = 0.0

    @property
    def highest(self):
        """Return the highest component, since the scarcest resource decides."""
        return max(self.lag, self.busy, self.append, self.queued)


class OwnerLoad:
    """Combine cycle lag, processor use, append time and queues into one load value.

    The value is smoothed, and the overloaded state has hysteresis. `link_mbps` is 0 if
    it is not known; queues are ignored then.
    """

    def __init__(self, *, link_mbps):
        self._link_mbps = link_mbps
        self.reset()

    def reset(self):
        """Discard all measurements, once no cell is owned any more."""
        self._last_sample_ms = None
        self._lag_ms = 0.0
        self._busy_ms = 0.0
        self._append_ms = 0.0
        self.pressure = Pressure()
        self.value = 0.0
        self.is_overloaded = False

    @property
    def percent(self):
        """Return the load in percent of the limit."""
        return round(100 * self.value)

    def record_cycle(self, *, lag_ms, busy_ms):
        """Record how late a cycle began and how long it took."""
        self._lag_ms = max(self._lag_ms, lag_ms)
        self._busy_ms += busy_ms

    def record_append(self, took_ms):
        """Record the duration of an append."""
        self._append_ms = max(self._append_ms, took_ms)

    def sample(self, now_ms, *, join_ms, queued_bytes):
        """Update the load from all measurements since the last sample."""
        if self._last_sample_ms is None:
            self._last_sample_ms = now_ms
        span_ms = now_ms - self._last_sample_ms
        self._last_sample_ms = now_ms
        if span_ms > 0:
            self.pressure = self._pressure(span_ms, join_ms, queued_bytes)
            weight = 1.0 - math.exp(
                -min(span_ms, MAX_SAMPLE_INTERVAL_MS) / SMOOTHING_MS
            )
            self.value += weight * (min(self.pressure.highest, 2.0) - self.value)
        self._lag_ms = self._busy_ms = self._append_ms = 0.0
        threshold = OVERLOAD_EXIT if self.is_overloaded else OVERLOAD_ENTER
        self.is_overloaded = self.value >= threshold

    def _pressure(self, span_ms, join_ms, queued_bytes):
        excess_ms = max(0.0, self._append_ms - APPEND_TO_JOIN_RATIO * join_ms)
        queued_ms = 0.0
        if self._link_mbps:
            queued_ms = queued_bytes * 8.0 / (self._link_mbps * 1000.0)
        return Pressure(
            lag=self._lag_ms / MAX_LAG_MS,
            busy=min(1.0, self._busy_ms / span_ms) / MAX_BUSY_FRACTION,
            append=excess_ms / MAX_APPEND_MS,
            queued=queued_ms / MAX_QUEUED_MS,
        )
