"""Calls for advice that steps want, ordered by when they are due."""

from operator import attrgetter

from attrs import frozen

__all__ = ["MAX_WORKERS_PER_CALL", "CallQueue", "QueuedCall"]

# Limit of the service for one call.
MAX_WORKERS_PER_CALL = 100
# A call is delayed by this much for each level of its queue's priority. A bounded delay
# keeps urgent calls from starving those of the last queue under overload.
PRIORITY_LEVEL_MS = 1_000.0
# Extra levels for steps beyond their account's job rate share.
BEYOND_SHARE_LEVELS = 3
# Extra levels for steps held back by their account's limit. Their calls ask for as many
# tasks as may start, or at least these few: tickets for all would expire.
HELD_BACK_LEVELS = 3
MIN_TASKS_PER_CALL = 3
# A step's call is made this long, and its expected duration, before the step is due.
LEAD_TIME_MS = 250.0


@frozen(kw_only=True, eq=False)
class QueuedCall:
    """Hold a call for tickets; `wanted` is the number of tasks to find workers for.

    With `is_early`, the tasks need tickets from `needed_ms` on.
    """

    due_ms: float
    step: object
    workers: dict
    wanted: int
    is_early: bool = False
    needed_ms: float = 0.0


class CallQueue:
    """Collect the calls of one plan.

    A call waits for its turn by its queue's priority, from when it was first wanted.
    """

    def __init__(self, *, context, durations):
        self._context = context
        self._durations = durations
        self._queued = []

    def add(self, step, policy, workers, now_ms, *, may_start, levels=None):
        """Add a call for a step with tasks that wait, or will soon.

        `levels` are the priority levels by which it is delayed, None for the usual.
        """
        if step.advice_asked or now_ms < step.advice_not_before_ms:
            return
        wanted = sum(1 for task in step.tasks if not task.done and not task.runs)
        if not wanted or not self._is_near(step, _max_cost_ms(policy, workers), now_ms):
            return
        if levels is None:
            levels = self._delay_levels(step, may_start)
        self._queued.append(
            QueuedCall(
                due_ms=_due_ms(step, levels, now_ms),
                step=step,
                workers=workers,
                wanted=min(wanted, max(may_start, MIN_TASKS_PER_CALL)),
            )
        )

    def add_early(self, step, policy, workers, loss, now_ms):
        """Add a call for a step that is about to lose runs, but waits for none yet."""
        if step.advice_asked or step.waiting or now_ms < step.advice_not_before_ms:
            return
        if loss.first_ms - now_ms > _max_cost_ms(policy, workers) + LEAD_TIME_MS:
            return
        levels = self._delay_levels(step, may_start=loss.tasks)
        self._queued.append(
            QueuedCall(
                due_ms=_due_ms(step, levels, now_ms),
                step=step,
                workers=workers,
                wanted=loss.tasks,
                is_early=True,
                needed_ms=max(now_ms, loss.first_ms),
            )
        )

    def take(self):
        """Remove and return the calls, the one that is due first first."""
        queued, self._queued = self._queued, []
        return sorted(queued, key=attrgetter("due_ms"))

    def _delay_levels(self, step, may_start):
        """Return by how many priority levels a step's call is delayed."""
        levels = self._context.queue(step.job).priority
        levels += BEYOND_SHARE_LEVELS * step.job.is_beyond_share
        return levels + HELD_BACK_LEVELS * (not may_start)

    def _is_near(self, step, cost_ms, now_ms):
        if step.ready:
            return True
        job = step.job
        if job.due_ms(step.occurrence) - now_ms > cost_ms + LEAD_TIME_MS:
            return False
        return self._predecessors_left_ms(step, now_ms) <= cost_ms + LEAD_TIME_MS

    def _predecessors_left_ms(self, step, now_ms):
        """Return the expected time until the preceding steps are done."""
        longest_ms = 0.0
        for index in step.spec.after:
            earlier = step.job.step(step.occurrence, index)
            for task in earlier.tasks:
                if task.done:
                    continue
                run = task.active_run
                if run is None:
                    left_ms = self._durations.expected_ms(earlier.spec) + LEAD_TIME_MS
                else:
                    left_ms = self._durations.left_ms(run, now_ms)
                longest_ms = max(longest_ms, left_ms)
        return longest_ms


def _due_ms(step, levels, now_ms):
    """Return when a step's call is due; it is wanted from now on at the latest."""
    step.advice_wanted_ms = step.advice_wanted_ms or now_ms
    return step.advice_wanted_ms + PRIORITY_LEVEL_MS * levels


def _max_cost_ms(policy, workers):
    """Return how long a call about all workers would take."""
    worker_count = min(MAX_WORKERS_PER_CALL, len(workers))
    return policy.decision_ms + policy.per_worker_ms * worker_count
