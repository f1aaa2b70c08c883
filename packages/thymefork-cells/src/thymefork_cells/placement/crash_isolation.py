"""Where tasks run under which workers were lost.

The first loss says little of a task, so it goes where least else runs. After the second
it runs apart from other jobs, at the cost of a worker for some seconds. Runs of others
that were lost beside eight tasks that crash workers, among 16 workers, four seeds on
virtual time: at a quarter of the load 205, by the tightest fit instead 413; at half of
it 501, without running apart 761.
"""

from functools import partial

from ..state import Isolation, have_similar_timing
from ..workers.worker_losses import MAX_CRASHES, MAX_LOSSES, clearing_time_ms
from .worker_ranking import REMOTE_PENALTY, UNRELIABLE_PENALTY

__all__ = ["ISOLATE_AFTER_LOSSES", "CrashIsolation"]

# From this many losses on, known or suspected, a task runs apart, one run at a time.
ISOLATE_AFTER_LOSSES = 2
# A task that has to run apart waits this long for a worker to become empty, about as
# long as a short task runs. Then it goes where least runs.
APART_PATIENCE_MS = 1_000.0
# After the last loss but one, a task waits this long for word of the worker: a machine
# is back about when the leases there are over, and then the job is given up.
WORD_PATIENCE_MS = 1_500.0


class CrashIsolation:
    """Choose workers for suspected tasks, and keep others off them."""

    @staticmethod
    def is_crash_suspect(task, now_ms):
        """Tell whether a task may have crashed workers, so that it starts with care."""
        if len(task.losses) >= ISOLATE_AFTER_LOSSES:
            return True
        return task.may_crash_workers or task.suspected_crashes(now_ms) > len(
            task.losses
        )

    @staticmethod
    def can_start(task, now_ms):
        """Tell whether a suspected task may be started at all."""
        if len(task.losses) < MAX_CRASHES or not have_similar_timing(
            task.losses.values()
        ):
            return True
        return now_ms - task.last_lost_ms > WORD_PATIENCE_MS

    @staticmethod
    def workers_for(step, tasks, workers, now_ms):
        """Return those of the workers that tasks of a step may be tried on.

        Tasks that have to run apart wait a while for a worker to become empty. None is
        kept free for them meanwhile: that makes others wait and spares nobody.
        """
        if not _has_to_run_apart(tasks, now_ms):
            return workers
        job = step.job
        empty = [worker for worker in workers if not worker.runs_of_others(job)]
        if empty:
            return empty
        since_ms = max([step.ready_ms, *(task.last_lost_ms for task in tasks)])
        if now_ms - since_ms > APART_PATIENCE_MS:
            return workers
        return []

    def workers_for_gang(self, step, suspected, workers, now_ms):
        """Return the workers for a gang with suspected tasks, the best ones first."""
        if not all(self.can_start(task, now_ms) for task in suspected):
            return []
        usable = self.workers_for(step, suspected, workers, now_ms)
        return sorted(usable, key=partial(self.rate, step))

    @staticmethod
    def isolate(task, worker, now_ms):
        """Keep other jobs off a worker while a task that has to run apart is tried."""
        if not _has_to_run_apart([task], now_ms):
            return
        until_ms = now_ms + clearing_time_ms(task)
        if worker.isolation is not None and worker.isolation.job is task.step.job:
            until_ms = max(until_ms, worker.isolation.until_ms)
        worker.isolation = Isolation(job=task.step.job, until_ms=until_ms)

    @staticmethod
    def rate(step, worker):
        """Rate a worker for a suspected task; the lowest is best: least is at risk."""
        score = _cpu_at_risk(worker, step.job) / max(1, worker.entry.cpu_milli)
        if worker.is_least_preferred:
            score += UNRELIABLE_PENALTY
        rack = step.spec.preferred_rack
        if rack and rack != worker.entry.rack:
            score += REMOTE_PENALTY
        return score


def _has_to_run_apart(tasks, now_ms):
    return any(_has_to_be_alone(task, now_ms) for task in tasks)


def _has_to_be_alone(task, now_ms):
    if len(task.losses) >= MAX_LOSSES - 1:
        return True  # the next loss decides, whoever stands beside it
    return task.suspected_crashes(
        now_ms
    ) >= ISOLATE_AFTER_LOSSES and have_similar_timing(task.losses.values())


def _cpu_at_risk(worker, job):
    return sum(run.step.cpu_milli for run in worker.runs_of_others(job))
