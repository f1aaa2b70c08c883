"""Rank halls and workers for tasks."""

import heapq

from ..state.worker_health import FAILURES_TO_PAUSE
from .speed_scorer import SPEED_SCORE_RANGE

__all__ = [
    "WorkerRanking",
    "best_hall",
    "fit_score",
    "has_required_label",
    "task_capacity",
]

# Penalties by importance where workers are heterogeneous: interference with
# latency-sensitive tasks and workers that fail repeatedly; lateness probability
# (speed_scorer); a single failure, which may be the task's own fault; the hall; then
# use of fast workers, fit and data on another rack.

# Penalty for running tasks that fill idle processors beside latency-sensitive ones, or
# the other way round: above any difference in fit.
INTERFERENCE_PENALTY = 4.0
# Penalty for a worker whose last run failed or that is far slower than healthy ones: it
# is used only if no other has capacity.
UNRELIABLE_PENALTY = 2.0
# Keeps a step's tasks in one hall where they fit: a network failure cuts off a whole
# hall, and a step is late if one of its tasks is. Above any difference in fit, below
# UNRELIABLE_PENALTY.
OTHER_HALL_PENALTY = 1.6
# Penalty for a worker on another rack than the task's data.
REMOTE_PENALTY = 1.0


def best_hall(spec, workers, wanted):
    """Return the hall in which most of the wanted tasks fit.

    If all fit in several halls, tasks with accelerators take the fullest, which leaves
    whole workers free in others, and other tasks the emptiest.
    """
    sign = -1 if spec.accelerators else 1
    capacity_by_hall = {}
    for worker in workers:
        hall = worker.entry.hall
        capacity_by_hall[hall] = capacity_by_hall.get(hall, 0) + task_capacity(
            worker, spec
        )
    return max(
        capacity_by_hall,
        key=lambda hall: (
            min(capacity_by_hall[hall], wanted),
            sign * capacity_by_hall[hall],
        ),
        default="",
    )


class WorkerRanking:
    """Rank workers for the tasks of one step, the best one first.

    A worker that a task avoids is used only if no other can be: neither one of the
    `alternatives`, which may be full now, nor, with `has_unasked_workers`, one that the
    policy was not asked about yet. The task waits for these until its `may_return_ms`.

    `rate` returns a worker's score apart from its hall; the lowest is best. Scores are
    computed once, and again after an assignment, so that a wide step costs one pass
    over the workers.
    """

    def __init__(
        self,
        *,
        spec,
        workers,
        hall,
        runs_per_worker,
        rate,
        now_ms,
        alternatives,
        has_unasked_workers=False,
    ):
        self._spec = spec
        self._rate_without_hall = rate
        self._has_unasked_workers = has_unasked_workers
        self._hall = hall
        self._tasks_per_worker = runs_per_worker
        self._now_ms = now_ms
        self._alternatives = alternatives
        self._last_row = None
        self._rows = [
            (self._rate(worker), position, worker)
            for position, worker in enumerate(workers)
            if worker.has_capacity(spec)
        ]
        heapq.heapify(self._rows)

    def best_for(self, task):
        """Return the best worker for a task, or None if it fits on none.

        Call `on_assigned` after the assignment to put the worker back.
        """
        if task.delayed_starts:
            self._last_row = self._take_row_for_bound(task)
            if self._last_row is not None or task.required_worker_id:
                return self._last_row[2] if self._last_row is not None else None
        passed_over, found, avoided = [], None, None
        while self._rows and found is None:
            row = heapq.heappop(self._rows)
            worker = row[2]
            if not self._accepts_step(worker):
                continue
            if any(run.worker is worker for run in task.runs):
                passed_over.append(row)
            elif worker.worker_id in task.avoided_workers:
                passed_over.append(row)
                avoided = avoided or row
            else:
                found = row
        if found is None and avoided is not None and self._may_return(task):
            found = avoided
            passed_over.remove(avoided)
        for row in passed_over:
            heapq.heappush(self._rows, row)
        self._last_row = found
        return found[2] if found is not None else None

    def _take_row_for_bound(self, task):
        """Remove and return the row of the worker that a task is bound to, or None."""
        worker_id = task.required_worker_id or task.preferred_worker_id
        for row in self._rows:
            if row[2].worker_id != worker_id or worker_id in task.avoided_workers:
                continue
            if self._accepts_step(row[2]) and task.may_repeat_on(row[2]):
                self._rows.remove(row)
                heapq.heapify(self._rows)
                return row
        return None

    def on_assigned(self):
        """Update the score of the worker returned last, which now runs the task."""
        _, position, worker = self._last_row
        if self._tasks_per_worker is not None:
            count = self._tasks_per_worker.get(worker.worker_id, 0)
            self._tasks_per_worker[worker.worker_id] = count + 1
        if worker.has_capacity(self._spec):
            heapq.heappush(self._rows, (self._rate(worker), position, worker))

    def _rate(self, worker):
        score = self._rate_without_hall(worker)
        return score if worker.entry.hall == self._hall else score + OTHER_HALL_PENALTY

    def _accepts_step(self, worker):
        if not worker.has_capacity(self._spec) or worker.health.awaits_probe:
            return False
        if not self._tasks_per_worker:
            return True
        return (
            self._tasks_per_worker.get(worker.worker_id, 0) < self._spec.most_per_worker
        )

    def _may_return(self, task):
        """Return whether a task may use a worker that it avoids."""
        if self._now_ms >= task.may_return_ms:
            return True
        if self._has_unasked_workers:
            return False
        return not any(
            worker.worker_id not in task.avoided_workers
            and worker.fits_when_empty(self._spec)
            for worker in self._alternatives
        )


def has_required_label(step, worker):
    """Return whether a worker has the label that a step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def task_capacity(worker, spec):
    """Return how many tasks of a step fit on a worker."""
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
    """Return a worker's score for a task; the lowest is best: the tightest fit.

    `speed_scorer` adds a score for the worker's speed where workers are heterogeneous.
    """
    entry = worker.entry
    left_cpu = (worker.free_cpu_milli - spec.reserved_cpu_milli) / entry.cpu_milli
    left_memory = (worker.free_memory_mb - spec.memory_mb) / max(1, entry.memory_mb)
    score = left_cpu + 0.5 * left_memory
    is_remote = bool(spec.preferred_rack) and spec.preferred_rack != entry.rack
    # Check the few steps that can interfere first: this runs for each worker and step.
    interferes = (spec.fills_idle_cpu or spec.target_tail_ms) and _interferes(
        spec, worker
    )
    if speed_scorer is not None:
        score += speed_scorer.rate(worker, is_remote=is_remote)
        score += SPEED_SCORE_RANGE * (_fails_repeatedly(worker) + bool(interferes))
    if spec.accelerators and entry.accelerators:
        # Keep workers with all accelerators free for tasks that need all of them.
        score += (worker.free_accelerators - spec.accelerators) / entry.accelerators
    if worker.is_least_preferred:
        score += UNRELIABLE_PENALTY
    if is_remote:
        score += REMOTE_PENALTY
    if spec.fills_idle_cpu:
        score -= 2 * left_cpu  # prefer workers with idle processors
    if interferes:
        score += INTERFERENCE_PENALTY
    return score


def _fails_repeatedly(worker):
    """Return whether a worker failed too often in a row to be worth its speed."""
    return worker.health.failures_in_row >= FAILURES_TO_PAUSE


def _interferes(spec, worker):
    """Return whether a task interferes with runs on a worker, or they with it."""
    runs = worker.runs.values()
    if spec.fills_idle_cpu:
        return any(run.step.target_tail_ms for run in runs)
    return bool(spec.target_tail_ms) and any(run.step.fills_idle_cpu for run in runs)
