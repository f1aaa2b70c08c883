"""Which workers suit a step by their speed."""

from math import log

__all__ = ["SpeedFit"]

# What a task that is certainly late costs, in points of a worker's score. A chance of
# one in 25 weighs as much as a step's other hall, which weighs more than all room does.
LATE_PENALTY = 40.0
# What a worker twice as fast is kept for others by, times the logarithm of two: more
# than any difference in room, so that work with time to spare takes slow workers first.
FAST_PENALTY = 3.0
# Nobody is more urgent than the first queue: it leaves fast workers only if it is all
# but certainly in time on others.
FAST_PENALTY_OF_FIRST = 0.2


class SpeedFit:
    """Rate workers for a step by the chance of being late, and by what is kept free.

    A task that only fast workers end in time goes there first. One that is in time, or
    late, on all of them takes the slowest, which leaves the fast ones to others;
    `is_first` tells that no queue is more urgent.
    """

    def __init__(self, *, chance, is_first):
        self._chance = chance
        self._fast_penalty = FAST_PENALTY_OF_FIRST if is_first else FAST_PENALTY
        self._by_slowness = {}

    def rate(self, worker):
        """Return points for a worker; the lowest are best."""
        slowness = worker.slowness
        points = self._by_slowness.get(slowness)
        if points is None:
            points = LATE_PENALTY * self._chance.at(slowness)
            points -= self._fast_penalty * log(slowness)
            self._by_slowness[slowness] = points
        return points

    def suitable(self, workers):
        """Return those of the workers on which a task is as good as in time."""
        return self._chance.suitable(workers)

    def classes(self, workers):
        """Return what a start means to fast room, by the slowness of its worker."""
        if not self._chance.needs_speed(workers):
            return {
                worker.slowness: f"slack_on_{_pace(worker.slowness)}"
                for worker in workers
            }
        classes = {worker.slowness: "tight_on_slow" for worker in workers}
        for worker in self.suitable(workers):
            classes[worker.slowness] = "tight_on_fast"
        return classes


def _pace(slowness):
    return "fast" if slowness < 1.0 else "slow"
