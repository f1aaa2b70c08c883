"""Keep the runs of a task apart from an earlier start of it that may still arrive.

A start without an answer may be carried out seconds later. Once its stop is answered,
the worker rejects it, but a restart under the same id makes it forget that: until the
next incarnation has answered its owner, it accepts any start. Workers that tell when
they started may keep their ids; for others nothing has to be kept apart.

While such a start may arrive, its task runs on the same incarnation of the worker only,
which rejects the start: the restart that lets the start in ends the task's other run as
well. So the task has to wait only if the worker has restarted, is silent, full or
leaving. If its run succeeds there, that is acknowledged later (`withheld_ends.py`).
"""

from math import inf

from ..state import BINDING_MS, MAX_COMMAND_DELAY_MS, DelayedStart, Run, RunState

__all__ = ["DelayedStarts"]

# After that a start is reviewed this often until its worker has answered.
REVIEW_INTERVAL_MS = 10.0
LATE_START_REASON = "its start was carried out late"


class DelayedStarts:
    """Track the starts of released runs that may still arrive."""

    def __init__(self, *, context):
        self._context = context
        self._starts = {}  # by worker id, task name and run number
        self._review_due_ms = 0.0

    @staticmethod
    def expect(run, sent_ms):
        """Note that a start is under way."""
        if run.worker.born_epoch_ms:
            run.start_pending_since_ms = sent_ms

    def expect_recovered(self, run):
        """Note that a start of a previous owner may be under way.

        The worker did not report its run. When it was sent is not known: clocks differ,
        and it left only once its intent was stored.
        """
        self.expect(run, self._context.taken_over_ms)

    @staticmethod
    def on_arrived(run):
        """Note that a start has arrived, or never will."""
        run.start_pending_since_ms = 0.0

    def hold(self, run, now_ms):
        """Bind the task of a released run if the run's start may still arrive."""
        since_ms = run.start_pending_since_ms
        if not since_ms or not run.task.step.job.is_live:
            return
        is_inherited = since_ms <= self._context.taken_over_ms
        start = DelayedStart(
            task=run.task,
            run_id=run.run_id,
            worker_id=run.worker.worker_id,
            born_epoch_ms=0 if is_inherited else run.born_epoch_ms,
            is_inherited=is_inherited,
        )
        self._set_deadlines(start, since_ms, now_ms)
        if now_ms < start.arrives_until_ms:
            run.task.delayed_starts.append(start)
            self._add(start, "held", now_ms)

    def _set_deadlines(self, start, since_ms, now_ms):
        start.arrives_until_ms = since_ms + MAX_COMMAND_DELAY_MS
        start.binds_until_ms = since_ms + BINDING_MS
        epoch_ms = self._context.epoch_ms() - now_ms
        start.binds_until_epoch_ms = round(epoch_ms + start.binds_until_ms)
        may_run_twice = start.task.step.spec.speculative
        start.is_binding = now_ms < start.binds_until_ms and not may_run_twice

    def _add(self, start, how, now_ms):
        self._starts[start.key] = start
        self._review_due_ms = min(self._review_due_ms, start.binds_until_ms)
        self._log(start, how, now_ms)

    def restore(self, job, now_ms):
        """Bind the tasks that the previous owner of a job had bound."""
        for step in job.steps:
            for task in step.tasks:
                for start in task.delayed_starts:
                    self._inherit(start, now_ms)

    def _inherit(self, start, now_ms):
        """Bind the task of a previous owner's start.

        It is bound anew, since the time of day of the owner that sent it may differ.
        If another owner has done so before, that one's time of day has to do: the task
        must not wait anew after each of several changes of owner in a row.
        """
        since_ms = now_ms
        if start.is_inherited:
            remaining_ms = start.binds_until_epoch_ms - self._context.epoch_ms()
            since_ms -= BINDING_MS - min(max(0.0, remaining_ms), BINDING_MS)
        start.is_inherited = True
        self._set_deadlines(start, since_ms, now_ms)
        self._add(start, "inherited", now_ms)
        self._context.journal.mark_task_changed(start.task)

    @staticmethod
    def binds_until_ms(worker, task):
        """Return until when a task is bound to a worker, 0 if it is not."""
        return max(
            (
                start.binds_until_ms
                for start in task.delayed_starts
                if start.worker_id == worker.worker_id
            ),
            default=0.0,
        )

    def on_arrival(self, worker, row, now_ms):
        """Return the run that a delayed start has begun, or None.

        It is to be stopped, but for a long-running one, which is its task's only run.
        """
        start = self._starts.get((worker.worker_id, row.task, row.run_id))
        if start is None or start.task.done or not start.task.step.job.is_live:
            return None
        self._log(start, "arrived", now_ms)
        self._remove(start)
        run = Run(
            task=start.task,
            run_id=start.run_id,
            worker=worker,
            state=RunState.RECOVERED,
            began_ms=now_ms,
            stop_reason="" if start.task.step.spec.long_running else LATE_START_REASON,
        )
        start.task.runs.append(run)
        worker.add(run)
        return run

    def review(self, now_ms):
        """Release tasks from their workers, and forget starts that can't arrive.

        Return when to do so next.
        """
        if now_ms < self._review_due_ms:
            return self._review_due_ms
        for start in list(self._starts.values()):
            if self._is_over(start, now_ms):
                self._remove(start)
            elif start.is_binding and self._is_released(start, now_ms):
                start.is_binding = False
                self._on_changed(start)
        due_ms = (self._due_ms(start, now_ms) for start in self._starts.values())
        self._review_due_ms = min(due_ms, default=inf)
        return self._review_due_ms

    @staticmethod
    def _due_ms(start, now_ms):
        deadline_ms = start.arrives_until_ms
        if start.is_binding:
            deadline_ms = start.binds_until_ms
        return max(deadline_ms, now_ms + REVIEW_INTERVAL_MS)

    @staticmethod
    def _is_over(start, now_ms):
        return now_ms >= start.arrives_until_ms and not start.is_binding

    def _is_released(self, start, now_ms):
        """Return whether a start is known not to have arrived so far.

        Its worker may have restarted since it was last heard of. If it stays silent,
        its leases are awaited, as for its other runs.
        """
        if now_ms < start.binds_until_ms:
            return False
        worker = self._context.workers.get(start.worker_id)
        if worker is None or worker.answered_poll_ms >= start.binds_until_ms:
            return True
        worker.answer_needed_ms = max(worker.answer_needed_ms, start.binds_until_ms)
        return worker.has_no_contact and now_ms > worker.runs_until_ms

    def _remove(self, start):
        del self._starts[start.key]
        start.task.delayed_starts.remove(start)
        self._on_changed(start)

    def _on_changed(self, start):
        if not start.task.step.job.is_live:
            return
        start.task.step.invalidate_waiting()
        self._context.journal.mark_task_changed(start.task)
        self._context.needs_plan = True

    def _log(self, start, how, now_ms):
        self._context.count("delayed_starts", how)
        self._context.note(
            f"delayed_start_{how}",
            task=start.task.name,
            run=start.run_id,
            worker=start.worker_id,
            until_in_ms=round(start.binds_until_ms - now_ms),
        )
