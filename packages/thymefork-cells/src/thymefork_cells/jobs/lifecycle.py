"""Apply the ends of runs to their tasks, steps and jobs."""

from ..effects import Reply
from ..state import JobState, RunState
from .delayed_starts import DelayedStarts
from .objective import measured_objective_ms

__all__ = ["Lifecycle"]


class Lifecycle:
    """Change the states of runs, tasks, steps and jobs."""

    def __init__(self, *, context):
        self._context = context
        self.delayed_starts = DelayedStarts(context=context)

    def release(self, run, *, now_ms):
        """Free the resources of a run that does not run and can't start any more.

        If its start may yet arrive at a later incarnation, its task is bound to that
        worker.
        """
        if run.state is RunState.GONE:
            return
        run.state = RunState.GONE
        self._context.pending_stops.pop(run, None)
        run.worker.remove(run)
        run.worker.health.gone(run)
        run.task.runs.remove(run)
        self.delayed_starts.hold(run, now_ms)
        run.task.step.invalidate_waiting()
        run.task.last_lost_ms = now_ms
        self._context.needs_plan = True
        self._context.journal.mark_task_changed(run.task)

    def release_unstarted(self, run, *, now_ms):
        """Release a run whose start was rejected, or never sent."""
        self.delayed_starts.on_arrived(run)
        self.release(run, now_ms=now_ms)

    def end(self, run, how, checkpoint, *, now_ms):
        """Apply the end of a run that its worker has reported."""
        task, step, worker = run.task, run.task.step, run.worker
        job = step.job
        job.has_run = True
        if checkpoint:
            task.checkpoint = checkpoint
        self.delayed_starts.on_arrived(run)
        self.release(run, now_ms=now_ms)
        self._context.count("run_ends", how)
        if how == "done":
            self._on_done(run, now_ms)
        elif how == "failed":
            self._on_failed(run, now_ms)
        elif how == "alone":
            step.advice_not_before_ms = now_ms
        self._context.note(
            "run_ended",
            level="DEBUG" if how == "done" else "INFO",
            task=task.name,
            run=run.run_id,
            worker=worker.worker_id,
            how=how,
            after_ms=round(now_ms - run.began_ms) if run.began_ms else None,
            failures=task.failures,
            job_state=str(job.state),
        )

    def end_late(self, task_name, run_id, how, *, now_ms):
        """Apply the end of a run that was released when its lease expired.

        The end is acknowledged after this, so a success or failure has to be counted.
        """
        task = self._task_named(task_name)
        if task is None or task.done or task.step.spec.long_running:
            return
        job = task.step.job
        job.has_run = True
        if how == "done":
            self._complete(task, run_id, now_ms)
            self._finish_if_done(job, now_ms)
        elif how == "failed" and run_id in task.expired_runs:
            task.expired_runs.discard(run_id)
            self._count_failure(task, run_id, now_ms)
        else:
            return
        self._context.count("run_ends", f"{how}_late")
        self._context.note("run_ended_late", task=task_name, run=run_id, how=how)
        self._context.journal.mark_task_changed(task)
        self._context.needs_plan = True

    def _task_named(self, task_name):
        job_id, *numbers = task_name.split(".")
        job = self._context.live_jobs.get(job_id)
        if job is None:
            return None
        try:
            occurrence, step, index = map(int, numbers)
            return job.step(occurrence, step).tasks[index]
        except (ValueError, IndexError):
            return None  # not a task of this cell

    # Successes ---------------------------------------------------------------

    def _on_done(self, run, now_ms):
        step = run.task.step
        step.has_success = True
        run.worker.health.succeeded()
        if step.spec.long_running:
            return
        if run.began_ms and not run.started_by_previous_owner:
            run.task.worked_ms = (now_ms - run.began_ms) / run.slowness
        self._complete(run.task, run.run_id, now_ms)
        self._finish_if_done(step.job, now_ms)

    def _complete(self, task, run_id, now_ms):
        """Mark a task as done; the success of one gang member counts for all."""
        step = task.step
        if step.spec.gang:
            for member in step.tasks:
                member.done = True
                self._context.journal.mark_task_changed(member)
            step.tasks_remaining = 0
        elif not task.done:
            task.done = True
            step.tasks_remaining -= 1
        step.invalidate_waiting()
        self._stop_others(task, run_id, now_ms)

    def _stop_others(self, task, run_id, now_ms):
        """Stop the other runs of a task or gang that is done."""
        tasks = task.step.tasks if task.step.spec.gang else [task]
        for run in [run for member in tasks for run in member.runs]:
            if run.run_id != run_id:
                self.stop(run, "another run of its task ended first", now_ms=now_ms)

    def _finish_if_done(self, job, now_ms):
        if job.is_live and all(step.is_done for step in job.steps):
            self.finish(job, JobState.SUCCEEDED, "every task is done", now_ms=now_ms)

    # Failures ----------------------------------------------------------------

    def _on_failed(self, run, now_ms):
        task, step, worker = run.task, run.task.step, run.worker
        if step.record_failure(task, worker.worker_id):
            self._withdraw_failures(step)
        if worker.health.failed(step, now_ms):
            self._context.count("workers_paused", "failures")
            self._context.note(
                "worker_paused",
                worker=worker.worker_id,
                failures_in_row=worker.health.failures_in_row,
                until_in_ms=round(worker.health.paused_until_ms - now_ms),
            )
        task.avoid(worker.worker_id, now_ms)
        if not step.spec.long_running:
            self._count_failure(task, run.run_id, now_ms)

    def _withdraw_failures(self, step):
        """Hold the failures of a step that fails everywhere against no worker."""
        workers = [
            worker
            for worker_id in step.failed_worker_ids
            if (worker := self._context.workers.get(worker_id)) is not None
        ]
        resumed = sum(worker.health.withdraw_failures(step) for worker in workers)
        self._context.count("workers_paused", "withdrawn", resumed)
        self._context.note(
            "step_fails_everywhere",
            step=step.name,
            tasks=len(step.failed_tasks),
            workers=len(step.failed_worker_ids),
            workers_resumed=resumed,
        )

    def _count_failure(self, task, run_id, now_ms):
        """Count a failed attempt; failures of a gang's members in one run are one."""
        step = task.step
        if not step.spec.gang:
            task.failures += 1
        elif step.gang_failed_run != run_id:
            step.gang_failed_run = run_id
            step.gang_failures += 1
        self._fail_if_exhausted(task, now_ms)

    def _fail_if_exhausted(self, task, now_ms):
        """Fail the job of a task or gang that has no attempt left.

        While it is not known how many it has, it may neither start nor fail.
        """
        job = task.step.job
        queue = self._context.queue(job)
        if queue is None:
            self._context.count("removed_policies", "failure_not_judged")
        elif task.failed_attempts >= queue.max_attempts and job.is_live:
            reason = f"{task.name} failed {task.failed_attempts} times"
            self.finish(job, JobState.FAILED, reason, now_ms=now_ms)

    def fail_exhausted_jobs(self, now_ms):
        """Fail the jobs that have no attempt left since their queues' policies changed.

        Another start of such a task would be one too many.
        """
        for job in list(self._context.live_jobs.values()):
            failed_tasks = [
                task
                for step in job.steps
                for task in step.tasks
                if task.failed_attempts and not task.done
            ]
            for task in failed_tasks:
                self._fail_if_exhausted(task, now_ms)

    # Jobs --------------------------------------------------------------------

    def finish(self, job, state, reason, *, now_ms):
        """End a job and stop its runs."""
        job.state = state
        job.reason = reason
        job.ended_ms = now_ms
        self._context.live_jobs.pop(job.job_id, None)
        dropped_starts, stopped = self._release_runs(job, now_ms)
        self._context.journal.mark_changed(job)
        self._context.needs_plan = True
        self._context.count("jobs_ended", str(state))
        self._context.observe(
            "job_total", now_ms - job.accepted_ms, kind=job.queue_name
        )
        self._context.note(
            "job_ended",
            job=job.job_id,
            queue=job.queue_name,
            state=str(state),
            reason=reason,
            starts_dropped=dropped_starts,
            runs_stopped=stopped,
            after_ms=round(now_ms - job.accepted_ms),
            worked_ms=round(job.worked_ms),
            objective_ms=round(job.objective_ms - job.accepted_ms),
            measured_objective_ms=round(
                measured_objective_ms(job, self._context.queue(job))
            ),
        )

    def _release_runs(self, job, now_ms):
        """Release or stop an ended job's runs; return how many were each.

        Unsent starts are released at once, even if an append in flight holds their
        intent.
        """
        unsent = [run for run in job.runs if not run.was_sent]
        for run in unsent:
            self.release(run, now_ms=now_ms)
        continuing = [run for run in job.runs if run.state is not RunState.STOPPING]
        for run in continuing:
            self.stop(run, f"the job is {job.state}", now_ms=now_ms)
        if job.state is JobState.CANCELLED:
            self._count_cancelled("starts_dropped", len(unsent))
            self._count_cancelled("runs_stopped", len(continuing))
        return len(unsent), len(continuing)

    def _count_cancelled(self, kind, count):
        if count:
            self._context.count("cancelled", kind, count)

    def forget_ended(self, now_ms):
        """Drop the ended jobs that callers are no longer told about."""
        oldest_ms = now_ms - self._context.bounds.status_retention_ms * 1.5
        for job in list(self._context.jobs.values()):
            if not job.is_live and job.ended_ms < oldest_ms and not job.runs:
                del self._context.jobs[job.job_id]
                self._context.journal.drop(job)

    def stop(self, run, reason, *, now_ms):
        """Have a run stopped; an unsent one is released when its start is due.

        The stop stays pending until the worker acknowledges it, since a command may be
        lost and the worker may be silent or have no known address.
        """
        if run.state in (RunState.STOPPING, RunState.GONE):
            return
        was_sent = run.state is not RunState.INTENDED
        run.state = RunState.STOPPING
        run.stop_reason = reason
        if was_sent:
            run.stop_pending_since_ms = now_ms
            run.stop_due_ms = now_ms
            self._context.pending_stops[run] = None
            has_address = bool(run.worker.entry.host)
            self._context.count("stops", "owed" if has_address else "no_address")

    def resend_stop(self, run, *, now_ms):
        """Send another stop for a run that continues after an acknowledged one."""
        run.stop_clock_ms = 0
        run.stop_due_ms = now_ms
        run.worker.stopped.discard(run.key)
        self._context.pending_stops[run] = None
        self._context.count("retries", "stop_in_vain")

    def reply(self, reply_to, outcome, **fields):
        """Reply to a request at once."""
        reply = Reply(reply_to=reply_to, outcome=outcome, **fields)
        self._context.emit(reply)
