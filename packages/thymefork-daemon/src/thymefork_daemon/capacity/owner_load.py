"""How much an owner's cells ask of it, by what it sees of itself."""

import math

from attrs import frozen

__all__ = ["OwnerLoad", "Pressure"]

# At these an owner alone takes what the shortest objectives leave beside the work: a
# quarter of a second, of which the way there and back needs some.
MAX_LAG_MS = 200.0
MAX_APPEND_MS = 200.0
MAX_QUEUED_MS = 200.0
# A process that decides this much of the time can't catch up after a burst.
MAX_BUSY_FRACTION = 0.95
# An append usually takes twice as long as a join; where both are slow, it is the store.
APPEND_TO_JOIN_RATIO = 3.0
# A burst of a few turns is no overload.
SMOOTHING_MS = 1_000.0
# A process that was paused sees one late turn, which says nothing of the next ones.
MAX_SAMPLE_INTERVAL_MS = 200.0
# Where an owner counts as overloaded, and where no more.
OVERLOAD_ENTER, OVERLOAD_EXIT = 1.0, 0.5


@frozen(kw_only=True)
class Pressure:
    """Hold what was seen since the last time, each as a share of what is bearable."""

    lag: float = 0.0
    busy: float = 0.0
    append: float = 0.0
    queued: float = 0.0

    @property
    def highest(self):
        """Return the largest: what is short decides, however well the rest is."""
        return max(self.lag, self.busy, self.append, self.queued)


class OwnerLoad:
    """Sum up turns, appends and queues; smoothed, with hysteresis both ways.

    `link_mbps` is 0 where it is not known; queues then don't count.
    """

    def __init__(self, *, link_mbps):
        self._link_mbps = link_mbps
        self.reset()

    def reset(self):
        """Begin anew, since nothing is owned any more."""
        self._last_sample_ms = None
        self._lag_ms = 0.0
        self._busy_ms = 0.0
        self._append_ms = 0.0
        self.pressure = Pressure()
        self.value = 0.0
        self.is_overloaded = False

    @property
    def percent(self):
        """Return the load in percent of what is bearable."""
        return round(100 * self.value)

    def record_cycle(self, *, lag_ms, busy_ms):
        """Take how late a turn began and how long it took."""
        self._lag_ms = max(self._lag_ms, lag_ms)
        self._busy_ms += busy_ms

    def record_append(self, took_ms):
        """Take how long an append took."""
        self._append_ms = max(self._append_ms, took_ms)

    def sample(self, now_ms, *, join_ms, queued_bytes):
        """Sum up what came since the last time."""
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
