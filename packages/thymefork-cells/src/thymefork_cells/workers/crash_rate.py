"""Measure how often the workers of a cell crash."""

__all__ = ["CrashRate"]

# Crashes count for the rate of unrelated crashes for this long.
CRASH_RATE_WINDOW_MS = 60_000.0
# Crashes that the previous owner has stored with jobs count as if they came in this
# time before the takeover; most are cleared after about that.
INHERITED_CRASHES_WINDOW_MS = 15_000.0


class CrashRate:
    """Measure how often workers crash, for whatever cause."""

    def __init__(self, *, since_ms):
        self._since_ms = since_ms - INHERITED_CRASHES_WINDOW_MS
        self._crashed_ms = {}  # by incarnation, in the order of the crashes

    def record(self, incarnation, now_ms):
        """Record the crash of a worker's incarnation."""
        self._crashed_ms[incarnation] = now_ms
        self._drop_old(now_ms)

    def beside(self, losses, worker_count, now_ms):
        """Return the rate of all other crashes than these, one more assumed.

        Units: crashes per worker and millisecond.
        """
        self._drop_old(now_ms)
        unrelated = len(self._crashed_ms.keys() - losses.keys())
        observed_ms = min(now_ms - self._since_ms, CRASH_RATE_WINDOW_MS)
        return (unrelated + 1) / (max(1, worker_count) * observed_ms)

    def _drop_old(self, now_ms):
        oldest_ms = now_ms - CRASH_RATE_WINDOW_MS
        while self._crashed_ms:
            incarnation, crashed_ms = next(iter(self._crashed_ms.items()))
            if crashed_ms >= oldest_ms:
                return
            del self._crashed_ms[incarnation]
