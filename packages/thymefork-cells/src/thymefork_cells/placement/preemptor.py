"""Free capacity for urgent steps by preempting runs that checkpoint their progress."""

from operator import attrgetter

from ..estimates.free_capacity import FreeCapacity
from ..state import RunState

__all__ = ["Preemptor"]

# A step waits this long before it preempts: capacity is often freed without it.
PREEMPTION_DELAY_MS = 80.0
# Limit of preempted runs for one task. A task that needs all eight accelerators of a
# worker may find a run on each.
MAX_VICTIMS = 8
# Younger runs are not preempted: they may not have saved a checkpoint yet.
MIN_RUN_AGE_MS = 600.0
# Time that a preempted run needs to start again and restore its progress. Its job must
# have this much slack beyond the duration of the urgent task.
RESUME_MS = 1_500.0


class Preemptor:
    """Choose runs of less urgent queues to stop for a waiting step.

    Without preemption, small tasks take each piece of freed capacity, and a task that
    needs much of a worker waits indefinitely.
    """

    def __init__(self, *, context, lifecycle, durations):
        self._context = context
        self._lifecycle = lifecycle
        self._durations = durations

    def make_room(self, step, workers, wanted, now_ms):
        """Stop runs to make tasks of a step fit; return whether any was stopped."""
        if now_ms < max(
            step.ready_ms + PREEMPTION_DELAY_MS, step.preempt_not_before_ms
        ):
            return False
        free_at_ms = now_ms + self._context.bounds.stop_timeout_ms / 2
        fastest = min(workers, key=attrgetter("slowness"), default=None)
        if not self._durations.ends_in_time(step, free_at_ms, fastest):
            return False
        step.preempt_not_before_ms = now_ms + self._context.bounds.stop_timeout_ms
        plans = []
        for worker in workers:
            free = _capacity_after_stops(worker)
            if free.fits(step.spec):
                # Runs that are already being stopped free enough capacity.
                wanted -= _additional_tasks(step, worker, free)
                continue
            if not self._durations.ends_in_time(step, free_at_ms, worker):
                continue
            victims = self._victims(step, worker, free, now_ms)
            if victims:
                plans.append(victims)
        plans.sort(key=_cost)
        chosen = [run for victims in plans[: max(0, wanted)] for run in victims]
        for run in chosen:
            self._stop(run, step, now_ms)
        return bool(chosen)

    def _victims(self, step, worker, free, now_ms):
        """Return the runs to stop so that one task fits; empty if not possible."""
        chosen = []
        for run in self._candidates(step, worker, now_ms):
            if free.fits(step.spec):
                break
            if len(chosen) == MAX_VICTIMS:
                return []
            if free.gains_from(run.step, step.spec):
                chosen.append(run)
                free.release(run.step)
        return chosen if free.fits(step.spec) else []

    def _candidates(self, step, worker, now_ms):
        """Return the runs that may be preempted, the largest first."""
        priority = self._context.queue(step.job).priority
        needs_ms = self._durations.expected_ms(step.spec, worker)
        runs = [
            run
            for run in worker.runs.values()
            if run.state is RunState.LIVE
            and run.step.checkpoints
            and not run.step.gang
            and not run.step.long_running
            and now_ms - run.began_ms > MIN_RUN_AGE_MS
            and self._is_less_urgent(run, priority)
            and self._can_be_preempted(run, needs_ms, now_ms)
        ]
        return sorted(runs, key=lambda run: -run.step.reserved_cpu_milli)

    def _can_be_preempted(self, run, needs_ms, now_ms):
        """Return whether a run's job stays in time if preempted, or is late anyway."""
        left_ms = self._durations.left_ms(run, now_ms)
        if left_ms < self._context.bounds.stop_timeout_ms:
            return False  # it ends as soon without being stopped
        spare_ms = run.task.step.job.objective_ms - now_ms - left_ms
        return spare_ms < 0 or spare_ms > needs_ms + RESUME_MS

    def _is_less_urgent(self, run, priority):
        """Return whether a run's queue is known to have a lower priority."""
        queue = self._context.queue(run.task.step.job)
        return queue is not None and queue.priority > priority

    def _stop(self, run, step, now_ms):
        self._context.count("run_ends", "made_way")
        self._context.note(
            "run_makes_way",
            task=run.task.name,
            run=run.run_id,
            worker=run.worker.worker_id,
            for_step=step.name,
            percent=run.percent,
        )
        self._lifecycle.stop(run, f"{step.name} is more urgent", now_ms=now_ms)


def _capacity_after_stops(worker):
    """Return the free capacity of a worker once all pending stops are done."""
    free = FreeCapacity.of(worker)
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            free.release(run.step)
    return free


def _additional_tasks(step, worker, free):
    """Return how many more tasks of a step a worker may run in the free capacity."""
    count = len(free.allocate_all(step.spec, 0.0))
    most = step.spec.most_per_worker
    if not most:
        return count
    held = step.runs_per_worker().get(worker.worker_id, 0)
    return max(0, min(count, most - held))


def _cost(victims):
    return sum(run.step.reserved_cpu_milli for run in victims)
