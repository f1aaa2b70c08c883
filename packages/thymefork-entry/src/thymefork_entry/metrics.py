"""Counters and timers, sent by statsd and kept for reports."""

from collections import Counter
from functools import singledispatchmethod

from statsd import StatsClient

from thymefork_core.node import effects as fx

__all__ = ["Metrics"]


class Metrics:
    """Count each refusal and retry reason, and time waiting and deciding."""

    def __init__(self, *, place=None, prefix=""):
        self.counts = Counter()
        self._client = None
        if place is not None:
            self._client = StatsClient(place.host, place.port, prefix=prefix)

    @singledispatchmethod
    def take(self, effect):
        """Send a count or a timing."""
        raise TypeError(f"no metric for {type(effect).__name__}")

    @take.register
    def _count(self, effect: fx.Count):
        kind = type(effect.reason).__name__.lower()
        self.increment(f"{kind}.{effect.reason}")

    @take.register
    def _timing(self, effect: fx.Timing):
        if self._client is not None:
            self._client.timing(effect.name, effect.value_ms)

    def increment(self, name):
        """Raise a counter by one."""
        self.counts[name] += 1
        if self._client is not None:
            self._client.incr(name)
