"""Which workers suit a step by their speed."""

from math import log

__all__ = ["SPEED_SCORE_RANGE", "SpeedScorer"]

# What a task that is certainly late costs, in points of a worker's score. A chance of
# one in 25 weighs as much as a step's other hall, which weighs more than all room does.
LATE_PENALTY = 40.0
# Penalty for taking a fast worker, for each unit of the logarithm of its speed: about
# as much as any difference in room over the whole span, and less than another hall.
FAST_PENALTY = 1.9
# Nobody is more urgent than the first queue: it leaves fast workers only if it is all
# but certainly in time on others.
FAST_PENALTY_MOST_URGENT = 0.2
# Speeds beyond this factor from the average are no more worth keeping, or leaving.
MOST_FACTOR = 1.5
# Ratings of two workers differ by this much at most.
SPEED_SCORE_RANGE = LATE_PENALTY + 2.0 * FAST_PENALTY * log(MOST_FACTOR)
# Data on another rack makes a task take so many times as long.
REMOTE_FACTOR = 1.5


class SpeedScorer:
    """Rate workers for a step by the chance of being late, and by what is kept free.

    A task that only fast workers end in time goes there first. One that is in time, or
    late, on all of them takes slow ones, which leaves the fast ones to others;
    `is_most_urgent` tells that no queue is more urgent. One that is far slower than sound
    ones is rated worse than any of them.
    """

    def __init__(self, *, lateness, is_most_urgent):
        self._chance = lateness
        self._fast_penalty = (
            FAST_PENALTY_MOST_URGENT if is_most_urgent else FAST_PENALTY
        )
        self._points = {}

    def rate(self, worker, *, is_remote=False):
        """Return points for a worker; the lowest are best."""
        key = (worker.slowness, is_remote)
        points = self._points.get(key)
        if points is None:
            points = self._points[key] = self._rate(worker, is_remote)
        return points

    def _rate(self, worker, is_remote):
        if worker.is_far_slower:
            return SPEED_SCORE_RANGE
        factor = REMOTE_FACTOR if is_remote else 1.0
        late_points = LATE_PENALTY * self._chance.for_slowness(worker.slowness * factor)
        bounded = min(MOST_FACTOR, max(1.0 / MOST_FACTOR, worker.slowness))
        return late_points - self._fast_penalty * log(bounded)

    def suitable(self, workers):
        """Return those of the workers on which a task is as good as in time."""
        return self._chance.suitable(workers)

    def metric_labels(self, workers):
        """Return what a start means to fast room, by the slowness of its worker."""
        slownesses = {worker.slowness for worker in workers}
        suitable = self._chance.suitable_slownesses(slownesses)
        if suitable == slownesses:
            return {slowness: f"slack_on_{_pace(slowness)}" for slowness in slownesses}
        return {
            slowness: "tight_on_fast" if slowness in suitable else "tight_on_slow"
            for slowness in slownesses
        }


def _pace(slowness):
    return "fast" if slowness < 1.0 else "slow"
