"""Whether a job can still meet its objective."""

from attrs import field, frozen

__all__ = ["LATE_PATIENCE_MS", "Lateness"]

# A late step that has waited this long takes its turn again: about as long as a caller
# of a short job has any use for a late answer.
LATE_PATIENCE_MS = 8_000.0


@frozen(kw_only=True)
class Lateness:
    """Tell which steps belong to jobs that can't be in time any more.

    Past full load, work in the order of its objectives alone is all started once it is
    too late for it. Jobs that are late for certain let the others go first for a while:
    where 1.2, 1.5 and 2 times what the workers bear came for 8 s, 0.92, 0.72 and 0.47
    of the jobs were in time instead of 0.57, 0.22 and 0.13 (cell alone, virtual time).
    """

    _images = field()

    def lets_others_go_first(self, step, now_ms):
        """Tell whether a step is late even if it starts now, and may wait a while.

        Work that lasts is never too late: each moment of it counts. A gang needs room
        for all its tasks at once, which it would not get behind single ones; one with a
        task that lost its worker has waited for that already.
        """
        job = step.job
        if job.is_lasting or step.spec.gang or _has_losses(step):
            return False
        if now_ms + self._chain_ms(step) <= job.objective_ms:
            return False
        return step.longest_wait_ms(now_ms) < LATE_PATIENCE_MS

    def _chain_ms(self, step):
        """Return the longest chain of work from a step to its job's end."""
        steps = step.job.spec.steps
        chains_ms = {}
        for index in reversed(range(step.index, len(steps))):
            later_ms = (
                chains_ms[later] for later in chains_ms if index in steps[later].after
            )
            own_ms = self._images.expected_ms(steps[index])
            chains_ms[index] = own_ms + max(later_ms, default=0.0)
        return chains_ms[step.index]


def _has_losses(step):
    return any(task.losses for task in step.waiting)
