"""Score workers for a step by their speed."""

from math import log

__all__ = ["SPEED_SCORE_RANGE", "SpeedScorer"]

# Score of a worker on which a task is certainly late. A probability of 1 in 25 weighs
# as much as OTHER_HALL_PENALTY.
LATE_PENALTY = 40.0
# Penalty for using a fast worker, per unit of the logarithm of its speed. Over the
# whole range of speeds it stays below OTHER_HALL_PENALTY.
FAST_PENALTY = 1.9
# The most urgent queue avoids fast workers only if it is almost certainly in time on
# others.
FAST_PENALTY_MOST_URGENT = 0.2
# Speeds beyond this factor from the average count like it.
MAX_SPEED_FACTOR = 1.5
# Largest difference between the scores of two workers.
SPEED_SCORE_RANGE = LATE_PENALTY + 2.0 * FAST_PENALTY * log(MAX_SPEED_FACTOR)
# Factor by which tasks take longer with their data on another rack.
REMOTE_FACTOR = 1.5


class SpeedScorer:
    """Score workers for a step by lateness probability and by speed.

    Tasks that only fast workers end in time go there first. Tasks that are in time, or
    late, on all workers take slow ones and leave fast ones to others. Workers that are
    far slower than healthy ones get the worst score. `is_most_urgent` says that no
    queue is more urgent.
    """

    def __init__(self, *, lateness, is_most_urgent):
        self._lateness = lateness
        self._fast_penalty = (
            FAST_PENALTY_MOST_URGENT if is_most_urgent else FAST_PENALTY
        )
        self._scores = {}

    def rate(self, worker, *, is_remote=False):
        """Return the score of a worker; the lowest is best."""
        key = (worker.slowness, is_remote)
        score = self._scores.get(key)
        if score is None:
            score = self._scores[key] = self._rate(worker, is_remote)
        return score

    def _rate(self, worker, is_remote):
        if worker.is_far_slower:
            return SPEED_SCORE_RANGE
        factor = REMOTE_FACTOR if is_remote else 1.0
        late_score = LATE_PENALTY * self._lateness.for_slowness(
            worker.slowness * factor
        )
        bounded = min(MAX_SPEED_FACTOR, max(1.0 / MAX_SPEED_FACTOR, worker.slowness))
        return late_score - self._fast_penalty * log(bounded)

    def suitable(self, workers):
        """Return the workers with almost the lowest lateness probability."""
        return self._lateness.suitable(workers)

    def metric_labels(self, workers):
        """Return the label of the `placed_by_speed` metric by worker slowness."""
        slownesses = {worker.slowness for worker in workers}
        suitable = self._lateness.suitable_slownesses(slownesses)
        if suitable == slownesses:
            return {
                slowness: f"slack_on_{_speed_class(slowness)}"
                for slowness in slownesses
            }
        return {
            slowness: "tight_on_fast" if slowness in suitable else "tight_on_slow"
            for slowness in slownesses
        }


def _speed_class(slowness):
    return "fast" if slowness < 1.0 else "slow"
