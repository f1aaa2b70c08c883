"""Keep a task from starting again while an earlier start of it may still arrive.

A start without an answer may be carried out seconds later. Once its stop is answered,
the worker rejects it, but a restart under the same id makes it forget that: until the
next incarnation has answered its owner, it accepts any start. Workers that tell when
they started may keep their ids; for others nothing has to wait.
"""

from math import inf

from ..state import DelayedStart, Run, RunState

__all__ = ["START_HOLD_MS", "DelayedStarts"]

# A job that could run has to run something within 3 s. What is left of these is for its
# next start, and for one more if that gets no answer either.
START_HOLD_MS = 2_200.0
# A start that leaves this soon after a hold is the next one in a row.
REPEAT_WITHIN_MS = 600.0
# After its hold a task is reviewed this often until its worker has answered.
REVIEW_INTERVAL_MS = 10.0
LATE_START_REASON = "its start was carried out late"


class DelayedStarts:
    """Hold the tasks of released runs whose start may still arrive."""

    def __init__(self, *, context):
        self._context = context
        self._starts = {}  # by worker id, task name and run number
        self._review_due_ms = 0.0

    @staticmethod
    def expect(run, sent_ms):
        """Note that a start is under way, unless its step may run twice."""
        if run.worker.born_epoch_ms and not run.step.speculative:
            run.start_pending_since_ms = sent_ms

    def expect_recovered(self, run, now_ms):
        """Note that a start of a previous owner may be under way.

        The incarnation that it was sent to did not report it. Its age goes by the time
        of day, since a full hold after each change of owner would be too long.
        """
        age_ms = self._context.epoch_ms() - run.created_epoch_ms
        earliest_ms = self._context.taken_over_ms - START_HOLD_MS
        sent_ms = max(earliest_ms, now_ms - max(0.0, age_ms))
        self.expect(run, min(sent_ms, self._context.taken_over_ms))

    @staticmethod
    def on_arrived(run):
        """Note that a start has arrived."""
        run.start_pending_since_ms = 0.0
        unit, step = run.task.waiting_unit, run.task.step
        if not unit.unanswered_since_ms:
            return
        if not step.spec.gang or step.is_gang_complete(run.run_id):
            _end_unanswered(unit)

    @staticmethod
    def on_rejected(run):
        """Note that a start was rejected, or never sent."""
        run.start_pending_since_ms = 0.0
        _end_unanswered(run.task.waiting_unit)

    def hold(self, run, now_ms):
        """Hold the task of a released run if the run's start may still arrive.

        The next start after a hold is not held again: the task must not stand still for
        two holds in a row.
        """
        if not run.start_pending_since_ms or not run.task.step.job.is_live:
            return
        unit = run.task.waiting_unit
        since_ms = _hold_since_ms(unit, run)
        until_ms = since_ms + START_HOLD_MS
        if now_ms >= until_ms:
            return
        epoch_ms = self._context.epoch_ms() - now_ms
        unit.unanswered_since_ms = since_ms
        unit.unanswered_since_epoch_ms = round(epoch_ms + since_ms)
        start = DelayedStart(
            task=run.task,
            run_id=run.run_id,
            worker_id=run.worker.worker_id,
            until_ms=until_ms,
            until_epoch_ms=round(epoch_ms + until_ms),
        )
        run.task.delayed_starts.append(start)
        self._starts[start.key] = start
        self._review_due_ms = min(self._review_due_ms, start.until_ms)
        self._log(start, "held", now_ms)

    def restore(self, job, now_ms):
        """Hold the tasks that the previous owner of a job held."""
        for step in job.steps:
            for task in step.tasks:
                self._restore_unanswered(task.waiting_unit, now_ms)
                for start in task.delayed_starts:
                    self._restore(start, now_ms)

    def _restore_unanswered(self, unit, now_ms):
        if unit.unanswered_since_epoch_ms:
            age_ms = self._context.epoch_ms() - unit.unanswered_since_epoch_ms
            unit.unanswered_since_ms = now_ms - max(0.0, age_ms)

    def _restore(self, start, now_ms):
        remaining_ms = start.until_epoch_ms - self._context.epoch_ms()
        start.until_ms = now_ms + min(max(remaining_ms, 0.0), START_HOLD_MS)
        self._starts[start.key] = start
        self._review_due_ms = min(self._review_due_ms, start.until_ms)
        self._log(start, "inherited", now_ms)

    def on_arrival(self, worker, row, now_ms):
        """Return the run that a delayed start has begun, or None.

        It is to be stopped, but for a long-running one, which is its task's only run.
        """
        start = self._starts.get((worker.worker_id, row.task, row.run_id))
        if start is None:
            return None
        self._log(start, "arrived", now_ms)
        self._release(start)
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
        """Release the tasks whose starts can't arrive any more.

        Return when to do so next.
        """
        if now_ms < self._review_due_ms:
            return self._review_due_ms
        for start in list(self._starts.values()):
            if not start.task.step.job.is_live or self._is_over(start, now_ms):
                self._release(start)
        earliest_ms = now_ms + REVIEW_INTERVAL_MS
        due_ms = (max(start.until_ms, earliest_ms) for start in self._starts.values())
        self._review_due_ms = min(due_ms, default=inf)
        return self._review_due_ms

    def _is_over(self, start, now_ms):
        """Return whether a start can't arrive any more, and is known not to have.

        Its worker may have restarted since it was last heard of. If it stays silent,
        its leases are awaited, as for its other runs.
        """
        if now_ms < start.until_ms:
            return False
        worker = self._context.workers.get(start.worker_id)
        if worker is None or worker.answered_poll_ms >= start.until_ms:
            return True
        worker.answer_needed_ms = max(worker.answer_needed_ms, start.until_ms)
        return worker.has_no_contact and now_ms > worker.runs_until_ms

    def _release(self, start):
        del self._starts[start.key]
        start.task.delayed_starts.remove(start)
        start.task.step.invalidate_waiting()
        self._context.journal.mark_changed(start.task.step.job)
        self._context.needs_plan = True

    def _log(self, start, how, now_ms):
        self._context.count("delayed_starts", how)
        self._context.note(
            f"delayed_start_{how}",
            task=start.task.name,
            run=start.run_id,
            worker=start.worker_id,
            until_in_ms=round(start.until_ms - now_ms),
        )


def _hold_since_ms(unit, run):
    """Return from when on a task is held: the start, or the held one just before it."""
    before_ms = unit.unanswered_since_ms
    if not before_ms:
        return run.start_pending_since_ms
    is_repeated = (
        run.start_pending_since_ms <= before_ms + START_HOLD_MS + REPEAT_WITHIN_MS
    )
    return before_ms if is_repeated else run.start_pending_since_ms


def _end_unanswered(unit):
    unit.unanswered_since_ms = 0.0
    unit.unanswered_since_epoch_ms = 0
