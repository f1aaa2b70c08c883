"""A worker that was lost under a task."""

from attrs import frozen

__all__ = ["EARLY_LOSS_MS", "WorkerLoss", "have_similar_timing"]

# A run that lost its worker within this time of its start may well have crashed it: a
# task that does mostly does it at once, and silence is noticed within 1.2 s.
EARLY_LOSS_MS = 2_000.0
# Losses are alike if the longest run before one was at most so many times as long as
# the shortest, since workers differ in speed, and by the time that silence takes to be
# noticed.
ALIKE_FACTOR = 1.25
ALIKE_MORE_MS = 1_200.0


@frozen(kw_only=True)
class WorkerLoss:
    """Hold what is known of a worker that was lost while it may have run a task.

    `born_epoch_ms` tells which life of the worker was lost.
    `after_ms` is for how long at most the run had been at work, None if that is not
    known. The worker's life is over for certain, or it is merely silent; it ran no task
    of another job, or it did.
    """

    worker_id: str
    after_ms: int | None
    is_certain: bool
    was_alone: bool = False
    born_epoch_ms: int = 0

    @property
    def incarnation(self):
        """Return what tells the lost life from all others."""
        return (self.worker_id, self.born_epoch_ms)

    @property
    def was_early(self):
        """Tell whether it may have come right after the run's start."""
        return self.after_ms is None or self.after_ms <= EARLY_LOSS_MS


def have_similar_timing(losses):
    """Tell whether a task may have lost its workers by its own doing.

    A task that crashes its workers does so at about the same point of each run, while
    crashes of other causes come at any.
    """
    ages_ms = [loss.after_ms for loss in losses if loss.after_ms is not None]
    if len(ages_ms) < 2:
        return True
    return max(ages_ms) <= ALIKE_FACTOR * min(ages_ms) + ALIKE_MORE_MS
