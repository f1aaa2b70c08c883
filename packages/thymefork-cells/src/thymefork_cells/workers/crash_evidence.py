"""Decide what the losses of workers under a task prove.

Workers also crash by themselves and by other tasks, so a few losses prove nothing.
"""

from ..state import have_similar_timing

__all__ = [
    "MAX_CLEARING_TIME_MS",
    "MAX_CRASHES",
    "MAX_LOSSES",
    "MIN_CLEARING_TIME_MS",
    "clearing_time_ms",
    "clearing_time_of",
    "is_certain_cause",
    "is_outlived",
]

# A job fails once this many workers have crashed while they ran one of its tasks, each
# at about the same point of the run and one of them without runs of other jobs.
MAX_CRASHES = 3
# A job also fails once this many workers have crashed at any point. If some of them are
# only silent and were lost at about the same point, the task waits for news of them.
MAX_LOSSES = 4
# A run that works this many times as long as the longest run that lost its worker, plus
# a margin, shows that its task does not crash workers.
CLEARING_FACTOR = 2.0
CLEARING_MARGIN_MS = 1_000.0
# Bounds of that time. The upper one limits how long a worker is kept for one task.
MIN_CLEARING_TIME_MS = 5_000.0
MAX_CLEARING_TIME_MS = 30_000.0


def clearing_time_ms(task):
    """Return how long a run has to work to clear its task of all its losses."""
    times_ms = (clearing_time_of(loss) for loss in task.losses.values())
    return max(times_ms, default=MIN_CLEARING_TIME_MS)


def clearing_time_of(loss):
    """Return the age at which a run has outlived a loss."""
    required_ms = CLEARING_FACTOR * (loss.after_ms or 0) + CLEARING_MARGIN_MS
    return min(max(required_ms, MIN_CLEARING_TIME_MS), MAX_CLEARING_TIME_MS)


def is_outlived(loss, others):
    """Return whether an earlier run got well beyond the point of a loss, if known."""
    if loss.after_ms is None:
        return False
    return any((other.after_ms or 0) >= clearing_time_of(loss) for other in others)


def is_certain_cause(losses):
    """Return whether a task has certainly crashed the workers of these losses.

    A loss at an unknown point of the run proves nothing by itself.
    """
    certain = [loss for loss in losses if loss.is_certain]
    known = [loss for loss in certain if loss.after_ms is not None]
    if len(certain) >= MAX_LOSSES:
        return True
    return len(known) >= MAX_CRASHES and _are_alike(known)


def _are_alike(losses):
    """Return whether losses came at a similar point of the runs, one of them alone."""
    return have_similar_timing(losses) and any(loss.was_alone for loss in losses)
