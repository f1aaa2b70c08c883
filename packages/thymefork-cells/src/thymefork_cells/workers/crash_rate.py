"""Measure how often the workers of a cell crash, across its owners."""

import orjson

__all__ = ["CRASHES_KEY", "CrashRate"]

CRASHES_KEY = "c"
# Crashes count for the rate of unrelated crashes for this long.
CRASH_RATE_WINDOW_MS = 60_000.0
# An owner that knows nothing of the time before assumes one crash in this time.
ASSUMED_TIME_MS = 15_000.0


class CrashRate:
    """Measure how often workers crash, for whatever cause.

    `worker_count` is the mean number of workers that could be seen to crash.
    """

    def __init__(self, *, since_ms):
        self._since_ms = since_ms
        self._crashed_ms = {}  # by incarnation, in the order of the crashes
        self._counted_ms = since_ms
        self.worker_count = 0.0
        self.is_inherited = False

    def encode(self, *, epoch_ms, now_ms):
        """Return a record for the next owner, whose steady clock differs."""
        to_epoch_ms = epoch_ms - now_ms
        crashes = [
            [*incarnation, round(crashed_ms + to_epoch_ms)]
            for incarnation, crashed_ms in self._crashed_ms.items()
        ]
        observed_ms = round(min(now_ms - self._since_ms, CRASH_RATE_WINDOW_MS))
        return orjson.dumps([observed_ms, round(self.worker_count, 2), crashes])

    def load(self, record, *, epoch_ms, now_ms):
        """Continue the measurement of the previous owner.

        The time after its last record does not count: crashes may have been missed.
        """
        observed_ms, self.worker_count, crashes = orjson.loads(record)
        to_steady_ms = now_ms - epoch_ms
        self._since_ms = now_ms - observed_ms
        for worker_id, born_epoch_ms, crashed_epoch_ms in crashes:
            crashed_ms = min(now_ms, crashed_epoch_ms + to_steady_ms)
            self._crashed_ms[worker_id, born_epoch_ms] = crashed_ms
        self._drop_old(now_ms)
        self.is_inherited = True

    def count_workers(self, worker_count, now_ms):
        """Update the mean number of workers, of the time of the rate at most."""
        past_ms = min(now_ms - self._since_ms, CRASH_RATE_WINDOW_MS)
        elapsed_ms = now_ms - self._counted_ms
        self._counted_ms = now_ms
        if not self.worker_count:
            self.worker_count = float(worker_count)
        elif past_ms > 0:
            weight = min(1.0, elapsed_ms / past_ms)
            self.worker_count += weight * (worker_count - self.worker_count)

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
        observed_ms = min(
            now_ms - self._since_ms + ASSUMED_TIME_MS, CRASH_RATE_WINDOW_MS
        )
        return (unrelated + 1) / (max(1, worker_count) * observed_ms)

    def _drop_old(self, now_ms):
        oldest_ms = now_ms - CRASH_RATE_WINDOW_MS
        while self._crashed_ms:
            incarnation, crashed_ms = next(iter(self._crashed_ms.items()))
            if crashed_ms >= oldest_ms:
                return
            del self._crashed_ms[incarnation]
