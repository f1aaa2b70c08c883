"""Making room for urgent steps by stopping less urgent work that keeps its progress."""

from operator import attrgetter

from ..estimates.free_capacity import FreeCapacity
from ..state import RunState

__all__ = ["Preemptor"]

# A step that found no room waits this long before others make way: most room comes
# back by itself within a fraction of a short task.
PATIENCE_MS = 80.0
# At most this many runs make way for one task: what is stopped has to start again. A
# task that wants all eight accelerators of a worker may find one run on each.
MOST_VICTIMS = 8
# Progress is kept up to the last checkpoint or the stop; younger runs are let be.
YOUNGEST_MS = 600.0
# Work that is stopped is taken up again once room comes, and restores its progress
# first. A run makes way only if its job has this much to spare beside the time that
# the urgent task will take.
TAKE_UP_MS = 1_500.0


class Preemptor:
    """Choose runs of less urgent queues to stop for a waiting step.

    A task that needs a large part of certain workers would otherwise wait until all
    the small tasks there happen to end: others take each piece as it comes free.
    """

    def __init__(self, *, context, lifecycle, durations):
        self._context = context
        self._lifecycle = lifecycle
        self._durations = durations

    def make_room(self, step, workers, wanted, now_ms):
        """Stop runs so that tasks of a step find room soon; tell whether any was."""
        if now_ms < max(step.ready_ms + PATIENCE_MS, step.preempt_not_before_ms):
            return False
        room_ms = now_ms + self._context.bounds.stop_timeout_ms / 2
        fastest = min(workers, key=attrgetter("slowness"), default=None)
        if not self._durations.ends_in_time(step, room_ms, fastest):
            return False
        step.preempt_not_before_ms = now_ms + self._context.bounds.stop_timeout_ms
        plans = []
        for worker in workers:
            room = _room_to_come(worker)
            if room.fits(step.spec):
                # What was stopped before makes room here.
                wanted -= _tasks_that_fit(step, worker, room)
                continue
            if not self._durations.ends_in_time(step, room_ms, worker):
                continue
            victims = self._victims(step, worker, room, now_ms)
            if victims:
                plans.append(victims)
        plans.sort(key=_cost)
        chosen = [run for victims in plans[: max(0, wanted)] for run in victims]
        for run in chosen:
            self._stop(run, step, now_ms)
        return bool(chosen)

    def _victims(self, step, worker, room, now_ms):
        """Return the fewest runs whose end makes room for one task; none if none do."""
        chosen = []
        for run in self._candidates(step, worker, now_ms):
            if room.fits(step.spec):
                break
            if len(chosen) == MOST_VICTIMS:
                return []
            if room.gains_from(run.step, step.spec):
                chosen.append(run)
                room.release(run.step)
        return chosen if room.fits(step.spec) else []

    def _candidates(self, step, worker, now_ms):
        """Return the runs that may make way, the largest first."""
        priority = self._priority(step)
        needs_ms = self._durations.expected_ms(step.spec, worker)
        runs = [
            run
            for run in worker.runs.values()
            if run.state is RunState.LIVE
            and run.step.checkpoints
            and not run.step.gang
            and not run.step.long_running
            and now_ms - run.began_ms > YOUNGEST_MS
            and self._priority(run.task.step) > priority
            and self._can_wait(run, needs_ms, now_ms)
        ]
        return sorted(runs, key=lambda run: -run.step.reserved_cpu_milli)

    def _can_wait(self, run, needs_ms, now_ms):
        """Tell whether a run's job still meets its objective, or can't any more."""
        left_ms = self._durations.left_ms(run, now_ms)
        if left_ms < self._context.bounds.stop_timeout_ms:
            return False  # its room comes back by itself as soon
        spare_ms = run.task.step.job.objective_ms - now_ms - left_ms
        return spare_ms < 0 or spare_ms > needs_ms + TAKE_UP_MS

    def _priority(self, step):
        queue = self._context.queue(step.job)
        return queue.priority if queue is not None else 0

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


def _room_to_come(worker):
    """Return what is free on a worker once the runs that are being stopped are gone."""
    room = FreeCapacity.of(worker)
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            room.release(run.step)
    return room


def _tasks_that_fit(step, worker, room):
    """Return how many more tasks of a step a worker may hold in some room."""
    count = len(room.allocate_all(step.spec, 0.0))
    most = step.spec.most_per_worker
    if not most:
        return count
    held = step.runs_per_worker().get(worker.worker_id, 0)
    return max(0, min(count, most - held))


def _cost(victims):
    return sum(run.step.reserved_cpu_milli for run in victims)
