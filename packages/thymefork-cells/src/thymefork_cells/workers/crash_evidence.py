"""Decide what the losses of workers under a task prove.

Workers also crash by themselves and by other tasks, so a few losses prove nothing.
"""

import math

from ..state.worker_loss import MAX_AGE_RATIO

__all__ = [
    "MAX_CLEARING_TIME_MS",
    "MAX_CRASHES",
    "MAX_LOSSES",
    "MIN_CLEARING_TIME_MS",
    "clearing_time_ms",
    "clearing_time_of",
    "fits_another",
    "is_certain_cause",
    "is_outlived",
]

# A job fails once this many workers have crashed while they ran one of its tasks, each
# at about the same point of the run and one of them without runs of other jobs.
MAX_CRASHES = 3
# A job also fails once this many workers have crashed at any point. If some of them are
# only silent and were lost at about the same point, the task waits for news of them.
MAX_LOSSES = 4
# A job does not fail if unrelated crashes would bring its losses more often than this.
MAX_CHANCE_OF_COINCIDENCE = 0.0005
# Once this many workers have crashed at what may be one point of the runs, it does not
# fail only if unrelated crashes would bring its losses more often than this.
MAX_CERTAIN_LOSSES = 5
MAX_CHANCE_AT_LAST = 0.01
# Run ages at the losses are not known more precisely than this.
MIN_AGE_SPREAD_MS = 200.0
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
    age_ms = 0 if loss.after_ms is None else loss.max_age_ms
    required_ms = CLEARING_FACTOR * age_ms + CLEARING_MARGIN_MS
    return min(max(required_ms, MIN_CLEARING_TIME_MS), MAX_CLEARING_TIME_MS)


def is_outlived(loss, others):
    """Return whether an earlier run got well beyond the point of a loss, if known."""
    if loss.after_ms is None:
        return False
    return any(other.seen_age_ms >= clearing_time_of(loss) for other in others)


def is_certain_cause(losses, crash_rate):
    """Return whether a task has certainly crashed the workers of these losses.

    `crash_rate` is that of unrelated crashes, per worker and millisecond.
    """
    certain = [loss for loss in losses if loss.is_certain]
    known = [loss for loss in certain if loss.after_ms is not None]
    chance = 1.0
    if len(known) >= MAX_CRASHES and _are_alike(known):
        chance = _chance_of_same_point(known, crash_rate)
    if len(certain) >= MAX_LOSSES:
        chance = min(chance, _chance_of_count(certain, crash_rate))
        if _have_common_point(certain):
            chance = min(chance, _chance_of_same_point(certain, crash_rate))
    if len(certain) >= MAX_CERTAIN_LOSSES and _have_common_point(certain):
        return chance <= MAX_CHANCE_AT_LAST
    return chance <= MAX_CHANCE_OF_COINCIDENCE


def _are_alike(losses):
    """Return whether losses came at a similar point of the runs, one of them alone."""
    return _have_common_point(losses) and any(loss.was_alone for loss in losses)


def _have_common_point(losses):
    """Return whether the runs may all have lost their workers at one point."""
    max_ages_ms = [loss.max_age_ms for loss in losses if loss.max_age_ms is not None]
    if not max_ages_ms:
        return True
    min_age_ms = max(loss.min_age_ms for loss in losses)
    return min_age_ms <= MAX_AGE_RATIO * min(max_ages_ms) + MIN_AGE_SPREAD_MS


def _chance_of_same_point(losses, crash_rate):
    """Return the probability that unrelated crashes come as close together.

    One of them may come at any point, the others within some time of it.
    """
    points_ms = [loss.after_ms for loss in losses if _is_point(loss)]
    spread_ms = max(points_ms, default=0) - min(points_ms, default=0)
    windows_ms = [
        max(
            spread_ms if _is_point(loss) else loss.exposed_ms - loss.min_age_ms,
            MIN_AGE_SPREAD_MS,
        )
        for loss in losses
    ]
    windows_ms.remove(max(windows_ms))
    return math.prod(1.0 - math.exp(-crash_rate * ms) for ms in windows_ms)


def _is_point(loss):
    """Return whether a single age is known, as of owners of earlier versions."""
    return not loss.unseen_ms and loss.after_ms is not None


def _chance_of_count(losses, crash_rate):
    """Return the probability of as many unrelated crashes in the time of these runs."""
    exposed_ms = sum(loss.exposed_ms for loss in losses)
    expected = crash_rate * exposed_ms
    fewer = sum(expected**n / math.factorial(n) for n in range(len(losses)))
    return 1.0 - math.exp(-expected) * fewer


def fits_another(loss, losses):
    """Return whether a loss may have come at the same point as another of a task.

    Such a loss may be the task's own doing, though another task was found guilty.
    """
    return any(
        abs(loss.min_age_ms - other.min_age_ms) <= MIN_AGE_SPREAD_MS
        or _have_common_age(loss, other)
        for other in losses
        if other is not loss
    )


def _have_common_age(loss, other):
    """Return whether two runs may have been of the same age at their losses."""
    ages_ms = [one.max_age_ms for one in (loss, other) if one.max_age_ms is not None]
    return not ages_ms or max(loss.min_age_ms, other.min_age_ms) <= min(ages_ms)
