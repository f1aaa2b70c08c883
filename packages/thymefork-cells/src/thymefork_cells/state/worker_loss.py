"""Loss of a worker that ran a task."""

from attrs import frozen

__all__ = ["EARLY_LOSS_MS", "WorkerLoss", "have_similar_timing"]

# A run that loses its worker within this time of its start may have crashed it: a task
# that crashes workers mostly does so at once, and silence is noticed within 1.2 s.
EARLY_LOSS_MS = 2_000.0
# Run ages at the losses may differ by this factor, as workers differ in speed, plus the
# time that it takes to detect a silent worker.
MAX_AGE_RATIO = 1.25
AGE_TOLERANCE_MS = 1_200.0


# Age at the loss of a run of which nothing is known.
UNKNOWN_AGE_MS = 5_000


@frozen(kw_only=True)
class WorkerLoss:
    """Describe the loss of a worker while it may have run a task.

    `born_epoch_ms` identifies the worker's incarnation. `after_ms` is the run's maximum
    age at the loss, None if unknown; then `within_ms` is an upper bound of it by the
    time of day, 0 if that is unknown, too. `is_certain` is false if the worker is only
    silent; `was_alone` is true if it ran no other job's task.
    """

    worker_id: str
    after_ms: int | None
    is_certain: bool
    was_alone: bool = False
    born_epoch_ms: int = 0
    within_ms: int = 0

    @property
    def exposed_ms(self):
        """Return how long the run worked at most, as far as known."""
        if self.after_ms is not None:
            return self.after_ms
        return min(self.within_ms or UNKNOWN_AGE_MS, UNKNOWN_AGE_MS)

    @property
    def incarnation(self):
        """Return the identifier of the lost incarnation."""
        return (self.worker_id, self.born_epoch_ms)

    @property
    def was_early(self):
        """Return whether it may have come soon after the run's start."""
        return self.after_ms is None or self.after_ms <= EARLY_LOSS_MS


def have_similar_timing(losses):
    """Return whether the losses happened at similar ages of the runs.

    A task that crashes its workers does so at about the same point of each run; other
    crashes happen at any point.
    """
    ages_ms = [loss.after_ms for loss in losses if loss.after_ms is not None]
    if len(ages_ms) < 2:
        return True
    return max(ages_ms) <= MAX_AGE_RATIO * min(ages_ms) + AGE_TOLERANCE_MS
