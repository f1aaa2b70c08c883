"""Track workers that are lost while they run tasks, and fail jobs that crash workers.

A crashing task also loses the runs beside it, so it has to be identified within few
starts. Its losses are stored with its progress for the next owner.
"""

import math

from attrs import evolve

from ..state import JobState, WorkerLoss, have_similar_timing
from .crash_evidence import (
    MAX_CLEARING_TIME_MS,
    MAX_LOSSES,
    clearing_time_of,
    fits_another,
    is_certain_cause,
    is_outlived,
)
from .crash_monitor import CrashMonitor
from .crash_rate import CrashRate

__all__ = ["WorkerLosses"]

# Without news for this long, its job fails. Most workers that are cut off answer again
# sooner.
NEWS_TIMEOUT_MS = 15_000.0
# Bounds the runs named in a log line: a job may have hundreds on one worker.
MAX_LOGGED_RUNS = 10
# Bounds the remembered incarnations of workers whose crash is explained.
MAX_EXPLAINED = 1_000


class WorkerLosses:
    """Release the runs of lost workers, and fail the jobs that crash workers."""

    def __init__(self, *, context, lifecycle, takeover_report):
        self._context = context
        self._lifecycle = lifecycle
        self._takeover_report = takeover_report
        self._tasks_by_worker = {}  # by id and incarnation of silent workers
        self._crash_rate = CrashRate(since_ms=context.taken_over_ms)
        self.crash_monitor = CrashMonitor(context=context, rate=self._crash_rate)
        self._explained = {}  # as ordered keys, incarnations that failed jobs crashed

    @property
    def unresolved_worker_count(self):
        """Return how many silent workers may yet answer or turn out to have crashed."""
        return len(self._tasks_by_worker)

    def load_losses(self, job):
        """Continue with the losses of a job that the previous owner has stored."""
        for step in job.steps:
            for task in step.tasks:
                for loss in task.losses.values():
                    if loss.is_certain:
                        self.crash_monitor.load_loss(loss)
                    else:
                        self._await_outcome(loss, task)

    # Workers -----------------------------------------------------------------

    def on_worker_lost(self, worker, runs, *, is_certain, now_ms):
        """Record a lost worker's losses and release its runs.

        No loss is recorded for a worker that leaves as planned.
        """
        self._log_losses(worker, runs, is_certain, now_ms)
        self._takeover_report.on_lost(
            worker, runs, is_certain=is_certain, now_ms=now_ms
        )
        for run in runs:
            self._record(run, self.loss_of(run, now_ms, is_certain=is_certain))
        for run in runs:
            self._lifecycle.release(run, now_ms=now_ms)
        # The likeliest cause first: its failure explains the losses of the others.
        for run in sorted(runs, key=lambda run: len(run.task.losses), reverse=True):
            self._fail_if_crashing(run.task, now_ms)

    def _record(self, run, loss):
        if loss is None:
            return
        if loss.incarnation in self._explained:
            self._context.count("worker_losses", "explained")
            return
        self._drop_outlived(run.task, loss.seen_age_ms)
        if is_outlived(loss, run.task.losses.values()):
            self._context.count("worker_losses", "outlived")
            return
        run.task.losses[loss.incarnation] = loss
        if not loss.is_certain:
            self._await_outcome(loss, run.task)

    def loss_of(self, run, now_ms, *, is_certain=True):
        """Return the loss to record for a run's task.

        Return None if the task is done or was cleared, the worker was leaving, or the
        run was not on it.
        """
        if run.is_carried_over:
            return run.earlier_loss  # evaluated when its worker restarted
        task, after_ms = run.task, run.age_at_silence_ms(now_ms)
        if task.done or run.worker.is_leaving or run.was_absent:
            return None
        loss = WorkerLoss(
            worker_id=run.worker.worker_id,
            after_ms=after_ms,
            is_certain=is_certain,
            was_alone=not run.worker.runs_of_others(task.step.job),
            born_epoch_ms=run.born_epoch_ms,
            within_ms=run.max_age_at_silence_ms(now_ms, self._context.epoch_ms()),
            unseen_ms=run.unseen_at_silence_ms(now_ms),
        )
        return loss if loss.seen_age_ms <= MAX_CLEARING_TIME_MS else None

    def _await_outcome(self, loss, task):
        """Register a loss whose worker is silent and may not have crashed."""
        tasks_by_incarnation = self._tasks_by_worker.setdefault(loss.worker_id, {})
        tasks_by_incarnation.setdefault(loss.incarnation, set()).add(task)

    def review(self, now_ms):
        """Fail the jobs of tasks that got no news of their lost workers."""
        self.crash_monitor.review(now_ms)
        for worker_id, tasks_by_incarnation in list(self._tasks_by_worker.items()):
            for tasks in tasks_by_incarnation.values():
                tasks -= {task for task in tasks if not task.step.job.is_live}
            if not any(tasks_by_incarnation.values()):
                del self._tasks_by_worker[worker_id]
        for task in self._unresolved_tasks():
            since_ms = max(task.last_lost_ms, self._context.taken_over_ms)
            if now_ms - since_ms > NEWS_TIMEOUT_MS and self.awaits_news(task):
                self._fail(task, now_ms)

    def _unresolved_tasks(self):
        """Return the tasks with losses that may prove to be no crashes."""
        return {
            task
            for tasks_by_incarnation in self._tasks_by_worker.values()
            for tasks in tasks_by_incarnation.values()
            for task in tasks
        }

    def on_incarnation_over(self, worker, *, now_ms):
        """Confirm the losses of a silent worker that has certainly crashed."""
        if not worker.is_leaving:
            self.crash_monitor.on_crash(worker, now_ms)
        for incarnation, tasks in self._tasks_by_worker.pop(
            worker.worker_id, {}
        ).items():
            self._confirm(incarnation, tasks, now_ms)

    def _confirm(self, incarnation, tasks, now_ms):
        for task in tasks:
            loss = task.losses.get(incarnation)
            if loss is not None and not loss.is_certain:
                task.losses[incarnation] = evolve(loss, is_certain=True)
                self._context.journal.mark_task_changed(task)
                self._fail_if_crashing(task, now_ms)

    def on_answer(self, worker, *, now_ms):
        """Withdraw the losses of a silent worker that answers again.

        If a later incarnation answers, the worker had crashed.
        """
        for incarnation, tasks in self._tasks_by_worker.pop(
            worker.worker_id, {}
        ).items():
            if incarnation == worker.incarnation:
                self._withdraw(incarnation, tasks)
            else:
                self._confirm(incarnation, tasks, now_ms)

    def _withdraw(self, incarnation, tasks):
        for task in tasks:
            if task.losses.pop(incarnation, None) is not None:
                self._context.count("worker_losses", "taken_back")
                self._context.journal.mark_task_changed(task)

    # Tasks -------------------------------------------------------------------

    def on_run_reported(self, run, now_ms):
        """Drop the losses of a task that its run has outlived."""
        if run.began_ms:
            self._drop_outlived(run.task, now_ms - run.began_ms)

    def on_run_done(self, run):
        """Drop all losses of a task whose run did its work without a crash."""
        self._drop_outlived(run.task, math.inf)

    def _drop_outlived(self, task, age_ms):
        """Drop the losses that a run of this age shows not to be the task's doing."""
        outlived = [
            incarnation
            for incarnation, loss in task.losses.items()
            if age_ms >= clearing_time_of(loss)
        ]
        if not outlived:
            return
        for incarnation in outlived:
            del task.losses[incarnation]
        self._context.count("worker_losses", "outlived", len(outlived))
        self._context.journal.mark_task_changed(task)

    def _fail_if_crashing(self, task, now_ms):
        """Fail a job whose task has crashed too many workers."""
        crash_rate = self.crash_monitor.rate_beside(task.losses, now_ms)
        if is_certain_cause(task.losses.values(), crash_rate):
            self._fail(task, now_ms)

    def _fail(self, task, now_ms):
        job, losses = task.step.job, task.losses.values()
        if task.done or not job.is_live:
            return
        self._context.count("worker_losses", "job_given_up")
        self._context.note(
            "task_crashes_workers",
            task=task.name,
            workers=[loss.worker_id for loss in losses],
            after_ms=[loss.after_ms for loss in losses],
            crashes=sum(loss.is_certain for loss in losses),
        )
        reason = f"{len(losses)} workers were lost under {task.name}"
        self._lifecycle.finish(job, JobState.FAILED, reason, now_ms=now_ms)
        self._explain(set(task.losses))

    def _explain(self, incarnations):
        """Withdraw the losses of other tasks by workers that a failed job crashed."""
        self._explained |= dict.fromkeys(incarnations)
        while len(self._explained) > MAX_EXPLAINED:
            del self._explained[next(iter(self._explained))]
        for job in self._context.live_jobs.values():
            withdrawn = _withdraw_losses(job, incarnations)
            if withdrawn:
                self._context.count("worker_losses", "explained", len(withdrawn))
            for task in withdrawn:
                self._context.journal.mark_task_changed(task)

    def awaits_news(self, task):
        """Return whether a task may have crashed too many workers to go on.

        A silent worker that is still listed is taken for one that is cut off.
        """
        if len(task.losses) < MAX_LOSSES:
            return False
        likely = [
            loss
            for loss in task.losses.values()
            if loss.is_certain or not self._is_listed(loss.worker_id)
        ]
        if all(loss.is_certain for loss in likely):
            return False  # nothing more will be known of them
        return len(likely) >= MAX_LOSSES and have_similar_timing(likely)

    def _is_listed(self, worker_id):
        worker = self._context.workers.get(worker_id)
        return worker is not None and worker.is_listed

    def _log_losses(self, worker, runs, is_certain, now_ms):
        """Log one line for each job, and count the worker."""
        reason = "life_over" if is_certain else "lease_over"
        by_job = {}
        for run in runs:
            by_job.setdefault(run.task.step.job, []).append(run)
        self._context.count("worker_losses", reason)
        for job, lost in by_job.items():
            self._context.note(
                "runs_lost",
                job=job.job_id,
                worker=worker.worker_id,
                reason=reason,
                runs=[
                    f"{run.task.name}/{run.run_id}" for run in lost[:MAX_LOGGED_RUNS]
                ],
                tasks=len(lost),
                after_ms=_youngest_age_ms(lost, now_ms),
                losses_before=max(len(run.task.losses) for run in lost),
                other_jobs=len(by_job) - 1,
                was_leaving=worker.is_leaving,
            )


def _withdraw_losses(job, incarnations):
    """Remove the losses of these incarnations from a job; return the task of each."""
    withdrawn = []
    for task in job.tasks:
        losses = list(task.losses.values())
        for loss in losses:
            is_explained = loss.incarnation in incarnations
            if is_explained and not fits_another(loss, losses):
                del task.losses[loss.incarnation]
                withdrawn.append(task)
    return withdrawn


def _youngest_age_ms(runs, now_ms):
    """Return the shortest time that one of the runs has worked, None if unknown."""
    ages_ms = [run.age_at_silence_ms(now_ms) for run in runs]
    return min((age_ms for age_ms in ages_ms if age_ms is not None), default=None)
