"""Which workers to try where the known ones may be too slow for a queue's tasks."""

__all__ = ["ExplorationScorer", "LatenessRisk"]

# What a worker of known speed is rated worse by: more than the tightest fit counts, and
# less than another hall, which the next step may choose.
KNOWN_PENALTY = 1.5
# Sound workers leave a queue's tasks less risk than this, though callers' estimates are
# off.
RISK = 0.2
# A new step's risk counts this much beside what was seen of its queue.
WEIGHT_OF_NEWEST = 0.05


class LatenessRisk:
    """Follow how likely each queue's tasks are late on an ordinary worker.

    A single step says little: its objective goes by its caller's estimate.
    """

    def __init__(self):
        self._by_queue = {}

    def update(self, queue_name, lateness):
        """Take note of a step about to start; one too late anyway says nothing."""
        if lateness >= 1.0:
            return
        known = self._by_queue.get(queue_name, 0.0)
        self._by_queue[queue_name] = known + WEIGHT_OF_NEWEST * (lateness - known)

    def is_high(self, queue_name):
        """Tell whether a queue's tasks are worth a try on other workers."""
        return self._by_queue.get(queue_name, 0.0) > RISK


class ExplorationScorer:
    """Prefer workers whose speed is not known yet; each is known after a few runs.

    The tightest fit alone keeps small tasks on the workers that were used first, and
    whether workers are alike can't be told from these.
    """

    def __init__(self, *, speeds):
        self._speeds = speeds

    def rate(self, worker, *, is_remote=False):
        """Return points for a worker; the lowest are best."""
        is_known = self._speeds.known_log_slowness(worker.machine) is not None
        return KNOWN_PENALTY * is_known

    def suitable(self, workers):
        """Return the workers that may be in time, which are all."""
        return workers

    def metric_labels(self, workers):
        """Return what a start means to fast room, by the slowness of its worker."""
        return {worker.slowness: "search" for worker in workers}
