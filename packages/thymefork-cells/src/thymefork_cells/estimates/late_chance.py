"""How likely a step's tasks are late on a worker, by its speed."""

from functools import cache
from math import erf, log, sqrt

__all__ = ["LateChance"]

# Tasks of one image on one worker differ by this much (deviation of the logarithm).
RUN_DEVIATION = 0.3
# A task may rather be late than that it is given a worker on which this much is likely.
LIKELY_LATE = 0.1


class LateChance:
    """Judge workers for the tasks of a step that would start now.

    Workers of the same speed are judged once; speeds come in steps.
    """

    def __init__(self, *, usual_ms, left_ms):
        self._usual_ms = usual_ms
        self._left_ms = left_ms
        self.at = cache(self._at)

    def _at(self, slowness):
        """Return the chance that a task is late on workers of a slowness."""
        if self._left_ms <= 0.0:
            return 1.0
        expected_ms = max(1.0, self._usual_ms * slowness)
        deviations = log(expected_ms / self._left_ms) / RUN_DEVIATION
        return 0.5 * (1.0 + erf(deviations / sqrt(2.0)))

    def on(self, worker):
        """Return the chance that a task is late on a worker."""
        return self.at(worker.slowness)

    def needs_speed(self, workers):
        """Tell whether some of the workers are too slow for a task, and others not."""
        chances = {self.on(worker) for worker in workers}
        if not chances:
            return False
        return max(chances) > LIKELY_LATE + min(chances)

    def suitable(self, workers):
        """Return the workers on which a task is about as likely in time as on any."""
        least = min(map(self.on, workers), default=0.0)
        bound = least + LIKELY_LATE
        return [worker for worker in workers if self.on(worker) <= bound]
