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
# A start may be carried out this long after it was decided.
MAX_START_DELAY_MS = 10_000


@frozen(kw_only=True)
class WorkerLoss:
    """Describe the loss of a worker while it may have run a task.

    `born_epoch_ms` identifies the worker's incarnation. `after_ms` is how long before
    the loss the owner first saw the run, None if it never did; `within_ms` is how long
    before the loss the run was created, by the time of day, 0 if unknown. They differ
    if a previous owner started the run. `unseen_ms` is how long before the loss the
    worker last answered, 0 if unknown. `is_certain` is false if the worker is only
    silent; `was_alone` is true if it ran no other job's task.
    """

    worker_id: str
    after_ms: int | None
    is_certain: bool
    was_alone: bool = False
    born_epoch_ms: int = 0
    within_ms: int = 0
    unseen_ms: int = 0

    @property
    def seen_age_ms(self):
        """Return the age of the run when its worker was found silent, at least."""
        if self.after_ms is None:
            return 0
        return max(self.after_ms, self.within_ms - MAX_START_DELAY_MS)

    @property
    def min_age_ms(self):
        """Return the age at which its worker was last known to be alive."""
        if self.after_ms is None:
            return 0
        return max(0, self.seen_age_ms - (self.unseen_ms or AGE_TOLERANCE_MS))

    @property
    def max_age_ms(self):
        """Return the age that the run had reached at most, None if unknown."""
        if self.after_ms is None:
            return self.within_ms or None
        return max(self.after_ms, self.within_ms)

    @property
    def exposed_ms(self):
        """Return how long the run worked at most, as far as known."""
        return UNKNOWN_AGE_MS if self.max_age_ms is None else self.max_age_ms

    @property
    def incarnation(self):
        """Return the identifier of the lost incarnation."""
        return (self.worker_id, self.born_epoch_ms)

    @property
    def was_early(self):
        """Return whether it may have come soon after the run's start."""
        return self.seen_age_ms <= EARLY_LOSS_MS


def have_similar_timing(losses):
    """Return whether the losses happened at similar ages of the runs.

    A task that crashes its workers does so at about the same point of each run; other
    crashes happen at any point.
    """
    seen_ages_ms = [loss.seen_age_ms for loss in losses]
    max_ages_ms = [loss.max_age_ms for loss in losses if loss.max_age_ms is not None]
    if not max_ages_ms:
        return True
    return max(seen_ages_ms) <= MAX_AGE_RATIO * min(max_ages_ms) + AGE_TOLERANCE_MS
