"""Workers that are lost under tasks, and tasks that are given up for it.

A task may crash whatever worker starts it. A worker is back within seconds, but all
that ran beside the task is lost each time, so such a task has to be told from those
that merely stood beside it, by few starts and also by the next owner: its losses are
stored with its progress.
"""

from attrs import evolve

from ..state import JobState, WorkerLoss, have_similar_timing

__all__ = [
    "MAX_CLEARING_TIME_MS",
    "MAX_CRASHES",
    "MAX_LOSSES",
    "WorkerLosses",
    "clearing_time_ms",
]

# A job is given up once this many workers have crashed under one of its tasks, each at
# about the same point of its run, and one of them while it ran nothing else. Two may be
# chance for a task that stood beside others.
MAX_CRASHES = 3
# Or once this many have crashed or fallen silent at whatever point.
MAX_LOSSES = 4
# A run that is at work for so many times as long as any run had been that lost its
# worker, and a bit, shows that its task does not crash workers.
OUTLIVED_FACTOR = 2.0
OUTLIVED_MORE_MS = 1_000.0
# That proof takes at least as long as most tasks run, and never longer than a caller of
# a lasting task would want a whole worker kept for it.
MIN_CLEARING_TIME_MS = 5_000.0
MAX_CLEARING_TIME_MS = 30_000.0
# A log line names this many runs; a job may have hundreds on one worker.
MOST_NAMED = 10


class WorkerLosses:
    """Release the runs of lost workers and judge their tasks."""

    def __init__(self, *, context, lifecycle):
        self._context = context
        self._lifecycle = lifecycle
        self._tasks_by_worker = {}  # of silent workers, by their ids and then lives

    @property
    def unresolved_worker_count(self):
        """Return how many silent workers may yet tell what became of them."""
        return len(self._tasks_by_worker)

    def load_losses(self, job):
        """Go on with the losses that a predecessor has stored of a job."""
        for step in job.steps:
            for task in step.tasks:
                for loss in task.losses.values():
                    if not loss.is_certain:
                        self._await_word(loss, task)

    # What becomes of a worker ------------------------------------------------

    def on_worker_lost(self, worker, runs, *, is_certain, now_ms):
        """Release the runs that a lost worker may have had.

        A worker that leaves as planned takes its runs with it by no fault of theirs.
        """
        self._tell(worker, runs, is_certain, now_ms)
        for run in runs:
            self._record(run, self.loss_of(run, now_ms, is_certain=is_certain))
        for run in runs:
            self._lifecycle.release(run, now_ms=now_ms)
        for run in runs:
            self._judge(run.task, now_ms)

    def _record(self, run, loss):
        if loss is None:
            return
        run.task.losses[loss.incarnation] = loss
        if not loss.is_certain:
            self._await_word(loss, run.task)

    def loss_of(self, run, now_ms, *, is_certain=True):
        """Return what the loss of its worker counts against a run's task.

        None for a task that needs no judgement, for a worker that leaves, and for a run
        that was not there.
        """
        if run.is_carried_over:
            return run.earlier_loss  # judged as its worker started again
        task, after_ms = run.task, run.age_at_silence_ms(now_ms)
        if task.done or (after_ms or 0) > MAX_CLEARING_TIME_MS:
            return None
        if run.worker.is_leaving or run.was_absent:
            return None
        return WorkerLoss(
            worker_id=run.worker.worker_id,
            after_ms=after_ms,
            is_certain=is_certain,
            was_alone=not run.worker.runs_of_others(task.step.job),
            born_epoch_ms=run.born_epoch_ms,
        )

    def _await_word(self, loss, task):
        """Note that a silent worker may yet answer, or be known to have crashed."""
        lives = self._tasks_by_worker.setdefault(loss.worker_id, {})
        lives.setdefault(loss.incarnation, set()).add(task)

    def on_incarnation_over(self, worker, *, now_ms):
        """Note that a worker which had fallen silent has crashed for certain."""
        for incarnation, tasks in self._tasks_by_worker.pop(
            worker.worker_id, {}
        ).items():
            self._confirm(incarnation, tasks, now_ms)

    def _confirm(self, incarnation, tasks, now_ms):
        for task in tasks:
            loss = task.losses.get(incarnation)
            if loss is not None and not loss.is_certain:
                task.losses[incarnation] = evolve(loss, is_certain=True)
                self._context.journal.mark_changed(task.step.job)
                self._judge(task, now_ms)

    def on_answer(self, worker, *, now_ms):
        """Take back the losses of a worker that was merely silent.

        One that answers from a later life had crashed.
        """
        for incarnation, tasks in self._tasks_by_worker.pop(
            worker.worker_id, {}
        ).items():
            if incarnation == worker.incarnation:
                self._take_back(incarnation, tasks)
            else:
                self._confirm(incarnation, tasks, now_ms)

    def _take_back(self, incarnation, tasks):
        for task in tasks:
            if task.losses.pop(incarnation, None) is not None:
                self._context.count("worker_losses", "taken_back")
                self._context.journal.mark_changed(task.step.job)

    def forget(self, worker):
        """Stop waiting for word of a worker; what was lost with it stays counted."""
        self._tasks_by_worker.pop(worker.worker_id, None)

    # What becomes of a task --------------------------------------------------

    def on_run_reported(self, run, now_ms):
        """Clear a task whose run has outlived those that were lost."""
        task = run.task
        if not run.began_ms or now_ms - run.began_ms < clearing_time_ms(task):
            return
        task.losses.clear()
        self._context.count("worker_losses", "outlived")
        self._context.journal.mark_changed(task.step.job)

    def _judge(self, task, now_ms):
        """Give a job up whose task has crashed too many workers."""
        job, losses = task.step.job, task.losses.values()
        if task.done or not job.is_live:
            return
        if len(losses) < MAX_LOSSES and not _is_proved(losses):
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

    def _tell(self, worker, runs, is_certain, now_ms):
        """Log a line a job, and count the worker."""
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
                runs=[f"{run.task.name}/{run.run_id}" for run in lost[:MOST_NAMED]],
                tasks=len(lost),
                after_ms=_youngest_ms(lost, now_ms),
                losses_before=max(len(run.task.losses) for run in lost),
                other_jobs=len(by_job) - 1,
                was_leaving=worker.is_leaving,
            )


def clearing_time_ms(task):
    """Return how long a run has to be at work to clear its task of its losses."""
    ages_ms = [loss.after_ms or 0 for loss in task.losses.values()]
    outlived_ms = OUTLIVED_FACTOR * max(ages_ms, default=0) + OUTLIVED_MORE_MS
    return min(max(outlived_ms, MIN_CLEARING_TIME_MS), MAX_CLEARING_TIME_MS)


def _is_proved(losses):
    """Tell whether losses are a task's own doing for certain.

    One of which it is not known when in the run it came proves nothing.
    """
    telling = [loss for loss in losses if loss.is_certain and loss.after_ms is not None]
    if len(telling) < MAX_CRASHES:
        return False
    return have_similar_timing(telling) and any(loss.was_alone for loss in telling)


def _youngest_ms(runs, now_ms):
    """Return for how long the youngest of some runs was at work, None if not known."""
    ages_ms = [run.age_at_silence_ms(now_ms) for run in runs]
    return min((age_ms for age_ms in ages_ms if age_ms is not None), default=None)
