"""Estimate how likely a step's tasks are late on a worker."""

from math import erf, log, sqrt

from .duration_variance import IMAGE_DEVIATION

__all__ = ["LatenessProbability"]

# Workers are suitable up to this much above the lowest lateness probability.
SUITABLE_MARGIN = 0.1


class LatenessProbability:
    """Compute how likely a task that starts now is late, by worker slowness.

    `usual_ms` is the expected duration on an average worker, and `left_ms` the time
    until the objective. Slowness is quantized, so many workers share few values.
    """

    def __init__(self, *, usual_ms, left_ms):
        self._usual_ms = usual_ms
        self._left_ms = left_ms

    def for_slowness(self, slowness):
        """Return the probability that a task is late on workers of a slowness."""
        if self._left_ms <= 0.0:
            return 1.0
        expected_ms = max(1.0, self._usual_ms * slowness)
        deviations = log(expected_ms / self._left_ms) / IMAGE_DEVIATION
        return 0.5 * (1.0 + erf(deviations / sqrt(2.0)))

    def for_worker(self, worker):
        """Return the probability that a task is late on a worker."""
        return self.for_slowness(worker.slowness)

    def needs_fast_worker(self, workers):
        """Return whether only some of the workers are suitable."""
        slownesses = _distinct_slownesses(workers)
        return self.suitable_slownesses(slownesses) != slownesses

    def suitable(self, workers):
        """Return the workers with almost the lowest lateness probability."""
        suitable = self.suitable_slownesses(_distinct_slownesses(workers))
        return [worker for worker in workers if worker.slowness in suitable]

    def suitable_slownesses(self, slownesses):
        """Return the slowness values with almost the lowest lateness probability."""
        probabilities = {
            slowness: self.for_slowness(slowness) for slowness in slownesses
        }
        bound = min(probabilities.values(), default=0.0) + SUITABLE_MARGIN
        return {
            slowness
            for slowness, probability in probabilities.items()
            if probability <= bound
        }


def _distinct_slownesses(workers):
    return {worker.slowness for worker in workers}
