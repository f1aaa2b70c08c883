"""How likely a step's tasks are late on a worker, by its speed."""

from math import erf, log, sqrt

from .duration_variance import IMAGE_DEVIATION

__all__ = ["LatenessProbability"]

# A worker suits if it is at most this much likelier to make the task late than the
# best one.
LIKELY_LATE = 0.1


class LatenessProbability:
    """Judge workers for the tasks of a step that would start now.

    Each distinct slowness among them is judged once; learned ones come in steps.
    """

    def __init__(self, *, usual_ms, left_ms):
        self._usual_ms = usual_ms
        self._left_ms = left_ms

    def for_slowness(self, slowness):
        """Return the chance that a task is late on workers of a slowness."""
        if self._left_ms <= 0.0:
            return 1.0
        expected_ms = max(1.0, self._usual_ms * slowness)
        deviations = log(expected_ms / self._left_ms) / IMAGE_DEVIATION
        return 0.5 * (1.0 + erf(deviations / sqrt(2.0)))

    def for_worker(self, worker):
        """Return the chance that a task is late on a worker."""
        return self.for_slowness(worker.slowness)

    def needs_fast_worker(self, workers):
        """Tell whether some of the workers are too slow for a task, and others not."""
        slownesses = _distinct(workers)
        return self.suitable_slownesses(slownesses) != slownesses

    def suitable(self, workers):
        """Return the workers on which a task is about as likely in time as on any."""
        suitable = self.suitable_slownesses(_distinct(workers))
        return [worker for worker in workers if worker.slowness in suitable]

    def suitable_slownesses(self, slownesses):
        """Return those of some slownesses that suit as well as the best of them."""
        chances = {slowness: self.for_slowness(slowness) for slowness in slownesses}
        bound = min(chances.values(), default=0.0) + LIKELY_LATE
        return {slowness for slowness, chance in chances.items() if chance <= bound}


def _distinct(workers):
    return {worker.slowness for worker in workers}
