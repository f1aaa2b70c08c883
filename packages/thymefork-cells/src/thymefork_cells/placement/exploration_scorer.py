"""Explore workers of unknown speed where known ones may be too slow."""

__all__ = ["ExplorationScorer", "LatenessRisk"]

# Penalty for a worker of known speed: above any difference in fit, and below
# OTHER_HALL_PENALTY.
KNOWN_SPEED_PENALTY = 1.5
# Smoothed lateness probability above which a queue's tasks explore other workers. On
# healthy workers it stays lower despite inaccurate estimates.
HIGH_RISK = 0.2
# Weight of the newest step in a queue's moving average.
SMOOTHING_FACTOR = 0.05


class LatenessRisk:
    """Track each queue's moving average of the lateness probability.

    A single step says little, since its objective depends on its caller's estimate.
    """

    def __init__(self):
        self._by_queue = {}

    def update(self, queue_name, probability):
        """Add a step that is about to start; one that is late anyway is ignored."""
        if probability >= 1.0:
            return
        known = self._by_queue.get(queue_name, 0.0)
        self._by_queue[queue_name] = known + SMOOTHING_FACTOR * (probability - known)

    def is_high(self, queue_name):
        """Return whether a queue's tasks should explore other workers."""
        return self._by_queue.get(queue_name, 0.0) > HIGH_RISK


class ExplorationScorer:
    """Prefer workers whose speed is not known yet.

    By fit alone, small tasks would stay on the workers that were used first, and the
    speed of others would never be learned.
    """

    def __init__(self, *, speeds):
        self._speeds = speeds

    def rate(self, worker, *, is_remote=False):
        """Return the score of a worker; the lowest is best."""
        is_known = self._speeds.known_log_slowness(worker.machine) is not None
        return KNOWN_SPEED_PENALTY * is_known

    def suitable(self, workers):
        """Return the workers that may be in time, here all of them."""
        return workers

    def metric_labels(self, workers):
        """Return the label of the `placed_by_speed` metric by worker slowness."""
        return {worker.slowness: "search" for worker in workers}
