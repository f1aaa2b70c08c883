"""Isolate tasks that may have crashed workers.

After its first worker loss, a task goes to the worker with the least other work. After
the second, it runs on a worker without other jobs, so that it can't take them down.
"""

from functools import partial

from ..state import Isolation, have_similar_timing
from ..workers.crash_evidence import MAX_CRASHES, MAX_LOSSES, clearing_time_ms
from .worker_ranking import REMOTE_PENALTY, UNRELIABLE_PENALTY

__all__ = ["ISOLATE_AFTER_LOSSES", "CrashIsolation"]

# From this many worker losses on, known or suspected, a task runs in isolation.
ISOLATE_AFTER_LOSSES = 2
# How long such a task waits for a worker without other jobs. After that it goes to the
# worker with the least other work.
ISOLATION_TIMEOUT_MS = 1_000.0
# Before its last attempt, a task waits this long for news of the lost worker: its
# restart shows that the worker crashed, and the job fails without another attempt.
WORKER_RETURN_TIMEOUT_MS = 1_500.0


class CrashIsolation:
    """Choose workers for crash suspects, and keep other jobs off these workers."""

    def __init__(self, *, losses):
        self._losses = losses

    @staticmethod
    def is_crash_suspect(task, now_ms):
        """Return whether a task may have crashed workers."""
        if len(task.losses) >= ISOLATE_AFTER_LOSSES:
            return True
        return task.may_crash_workers or task.suspected_crashes(now_ms) > len(
            task.losses
        )

    def can_start(self, task, now_ms):
        """Return whether a crash suspect may be started now."""
        if self._losses.awaits_news(task):
            return False
        if len(task.losses) < MAX_CRASHES or not have_similar_timing(
            task.losses.values()
        ):
            return True
        return now_ms - task.last_lost_ms > WORKER_RETURN_TIMEOUT_MS

    @staticmethod
    def workers_for(step, tasks, workers, now_ms):
        """Return the workers on which crash suspects of a step may run.

        Tasks that need isolation wait a while for a worker without other jobs. No
        worker is reserved for them, which would only delay other jobs.
        """
        if not _any_needs_isolation(tasks, now_ms):
            return workers
        since_ms = max([step.ready_ms, *(task.last_lost_ms for task in tasks)])
        if now_ms - since_ms > ISOLATION_TIMEOUT_MS:
            return workers
        return [worker for worker in workers if not worker.runs_of_others(step.job)]

    def workers_for_gang(self, step, crash_suspects, workers, now_ms):
        """Return the workers for a gang with crash suspects, the best first."""
        if not all(self.can_start(task, now_ms) for task in crash_suspects):
            return []
        usable = self.workers_for(step, crash_suspects, workers, now_ms)
        return sorted(usable, key=partial(self.rate, step))

    @staticmethod
    def isolate(task, worker, now_ms):
        """Keep other jobs off a worker while it runs a task that needs isolation."""
        if not _any_needs_isolation([task], now_ms):
            return
        until_ms = now_ms + clearing_time_ms(task)
        if worker.isolation is not None and worker.isolation.job is task.step.job:
            until_ms = max(until_ms, worker.isolation.until_ms)
        worker.isolation = Isolation(job=task.step.job, until_ms=until_ms)

    def restore(self, jobs, now_ms):
        """Isolate the runs of crash suspects that the previous owner has started."""
        for job in jobs:
            for run in job.runs:
                self.isolate(run.task, run.worker, now_ms)

    @staticmethod
    def rate(step, worker):
        """Return a worker's score for a crash suspect: least work at risk is best."""
        score = _cpu_at_risk(worker, step.job) / max(1, worker.entry.cpu_milli)
        if worker.is_least_preferred:
            score += UNRELIABLE_PENALTY
        rack = step.spec.preferred_rack
        if rack and rack != worker.entry.rack:
            score += REMOTE_PENALTY
        return score


def _any_needs_isolation(tasks, now_ms):
    return any(_needs_isolation(task, now_ms) for task in tasks)


def _needs_isolation(task, now_ms):
    if len(task.losses) >= MAX_LOSSES - 1:
        return True  # the next loss fails the job, whichever run caused it
    return task.suspected_crashes(
        now_ms
    ) >= ISOLATE_AFTER_LOSSES and have_similar_timing(task.losses.values())


def _cpu_at_risk(worker, job):
    return sum(run.step.cpu_milli for run in worker.runs_of_others(job))
