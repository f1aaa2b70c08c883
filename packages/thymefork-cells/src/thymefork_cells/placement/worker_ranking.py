"""Which hall and worker suit a task best."""

import heapq

from ..state.worker_health import FAILURES_TO_QUARANTINE
from .speed_scorer import SPEED_SCORE_RANGE

__all__ = [
    "WorkerRanking",
    "best_hall",
    "fit_score",
    "has_required_label",
    "task_capacity",
]

# The order of importance where workers are uneven: what disturbs tasks with users of
# their own, and a worker that is likely bad; then the chance of being late (speed_fit),
# since a late task is worth little to its caller wherever it runs; then one failure,
# which tasks have by their own fault; then the hall; then fast room that is kept, the
# tightest fit and data on another rack. Data counts in the chance of being late, too.

# What a step that fills idle processors adds to a worker's score where tasks with
# users of their own run, and the other way round: more than any difference in room.
DISTURBANCE_PENALTY = 4.0
# A worker whose last run failed, or that is far slower than any sound one, is taken
# only if no other has room.
UNRELIABLE_PENALTY = 2.0
# A step's tasks keep together in one hall where it has room for them: a hall is cut off
# as a whole, and a step is late if one of its tasks is. Counts more than any difference
# in room, less than doubt.
OTHER_HALL_PENALTY = 1.6
# Data on another rack makes a task take half as long again.
REMOTE_PENALTY = 1.0


def best_hall(spec, workers, wanted):
    """Return the hall that has room for the most of the wanted tasks.

    Of halls with room for all, tasks with accelerators take the fullest, which keeps
    whole workers whole elsewhere, and others the emptiest.
    """
    sign = -1 if spec.accelerators else 1
    copies = {}
    for worker in workers:
        hall = worker.entry.hall
        copies[hall] = copies.get(hall, 0) + task_capacity(worker, spec)
    return max(
        copies,
        key=lambda hall: (min(copies[hall], wanted), sign * copies[hall]),
        default="",
    )


class WorkerRanking:
    """Rank workers for the tasks of one step, the best one first.

    A worker that a task avoids is taken for want of others only, here or, as
    `has_unasked_workers` tells, among those that the policy was not asked about yet.
    `rate` gives a worker's score but for its hall; the lowest is best.
    Each worker is rated once, and once more after it was given a task: a wide step
    costs one pass over the workers, not one for each task.
    """

    def __init__(
        self, *, spec, workers, hall, runs_per_worker, rate, has_unasked_workers=False
    ):
        self._spec = spec
        self._rate_alone = rate
        self._may_find_others = has_unasked_workers
        self._hall = hall
        self._counts = runs_per_worker
        self._size = len(workers)
        self._given = None
        self._rows = [
            (self._rate(worker), position, worker)
            for position, worker in enumerate(workers)
            if worker.has_capacity(spec)
        ]
        heapq.heapify(self._rows)

    def best_for(self, task):
        """Return the best worker for a task, or None if none has room for it.

        `on_assigned` takes the worker back into the ranking.
        """
        passed_over, found = [], None
        while self._rows and found is None:
            row = heapq.heappop(self._rows)
            if not self._takes_step(row[2]):
                continue
            if self._takes_task(row[2], task):
                found = row
            else:
                passed_over.append(row)
        for row in passed_over:
            heapq.heappush(self._rows, row)
        self._given = found
        return found[2] if found is not None else None

    def on_assigned(self):
        """Rate the worker anew that was returned last, which has the task now."""
        _, position, worker = self._given
        if self._counts is not None:
            count = self._counts.get(worker.worker_id, 0)
            self._counts[worker.worker_id] = count + 1
        if worker.has_capacity(self._spec):
            heapq.heappush(self._rows, (self._rate(worker), position, worker))

    def _rate(self, worker):
        score = self._rate_alone(worker)
        return score if worker.entry.hall == self._hall else score + OTHER_HALL_PENALTY

    def _takes_step(self, worker):
        if not worker.has_capacity(self._spec) or worker.health.awaits_probe:
            return False
        if not self._counts:
            return True
        return self._counts.get(worker.worker_id, 0) < self._spec.most_per_worker

    def _takes_task(self, worker, task):
        others = self._may_find_others or self._size > len(task.avoided_workers)
        if worker.worker_id in task.avoided_workers and others:
            return False
        return not any(run.worker is worker for run in task.runs)


def has_required_label(step, worker):
    """Tell whether a worker has the label that a step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def task_capacity(worker, spec):
    """Return how many tasks of a step a worker has room for."""
    wanted = (
        (spec.reserved_cpu_milli, worker.free_cpu_milli),
        (spec.memory_mb, worker.free_memory_mb),
        (spec.accelerators, worker.free_accelerators),
    )
    copies = min((free // want for want, free in wanted if want), default=spec.count)
    copies = max(0, copies)
    if spec.most_per_worker:
        copies = min(copies, spec.most_per_worker)
    return min(copies, spec.count)


def fit_score(spec, worker, speed_scorer=None):
    """Rate a worker for a task; the lowest is best: the tightest fit that is sound.

    `speed_scorer` rates it by its speed besides, where workers are uneven.
    """
    entry = worker.entry
    left_cpu = (worker.free_cpu_milli - spec.reserved_cpu_milli) / entry.cpu_milli
    left_memory = (worker.free_memory_mb - spec.memory_mb) / max(1, entry.memory_mb)
    points = left_cpu + 0.5 * left_memory
    is_remote = bool(spec.preferred_rack) and spec.preferred_rack != entry.rack
    # Few steps can disturb others at all, and each worker is rated for each step.
    disturbs = (spec.fills_idle_cpu or spec.target_tail_ms) and _disturbs(spec, worker)
    if speed_scorer is not None:
        points += speed_scorer.rate(worker, is_remote=is_remote)
        points += SPEED_SCORE_RANGE * (_is_likely_bad(worker) + bool(disturbs))
    if spec.accelerators and entry.accelerators:
        # Tasks that want all of a worker's need one that no single task has broken.
        points += (worker.free_accelerators - spec.accelerators) / entry.accelerators
    if worker.is_least_preferred:
        points += UNRELIABLE_PENALTY
    if is_remote:
        points += REMOTE_PENALTY
    if spec.fills_idle_cpu:
        points -= 2 * left_cpu  # idle processors are what it needs
    if disturbs:
        points += DISTURBANCE_PENALTY
    return points


def _is_likely_bad(worker):
    """Tell whether a worker failed too often in a row for any speed to make up for."""
    return worker.health.failures_in_row >= FAILURES_TO_QUARANTINE


def _disturbs(spec, worker):
    """Tell whether tasks with users would run beside tasks that fill processors."""
    runs = worker.runs.values()
    if spec.fills_idle_cpu:
        return any(run.step.target_tail_ms for run in runs)
    return bool(spec.target_tail_ms) and any(run.step.fills_idle_cpu for run in runs)
