"""Reconcile the runs that an owner tracks with a worker's reports."""

from ..effects import OrphanedRun, StopRun
from ..state import RunState

__all__ = ["UNANSWERED_START_REASON", "RunReconciler"]

UNANSWERED_START_REASON = "its start was not answered"
# A run that is still reported this many stop timeouts after its stop was acknowledged,
# by the worker's clock, is stopped again.
INEFFECTIVE_STOP_FACTOR = 2.0


class RunReconciler:
    """Apply a worker's report to the runs that the owner tracks on it."""

    def __init__(self, *, context, lifecycle, losses, unstored_ends, withheld_ends):
        self._context = context
        self._withheld_ends = withheld_ends
        self._lifecycle = lifecycle
        self._unstored_ends = unstored_ends
        self._losses = losses

    def apply_ends(self, worker, report, now_ms):
        """Apply the run ends that are new; return whether there were any."""
        has_new = False
        for row in report.ended:
            if row.number <= worker.received_end:
                self._log_skipped(worker, row)
                continue
            has_new = True
            worker.received_end = row.number
            worker.orphaned_runs.discard((row.task, row.run_id))
            run = self._run_of(worker, row, now_ms)
            if run is not None:
                self._unstored_ends.add(worker, row, now_ms=now_ms)
                if row.how == "done":
                    self._losses.on_run_done(run)
                    self._withhold_end(worker, row, run.task)
                self._lifecycle.end(run, row.how, row.checkpoint, now_ms=now_ms)
            else:
                self._lifecycle.end_late(row.task, row.run_id, row.how, now_ms=now_ms)
        return has_new

    def _withhold_end(self, worker, row, task):
        """Don't acknowledge a success while an earlier start may still arrive here."""
        until_ms = self._lifecycle.delayed_starts.binds_until_ms(worker, task)
        if until_ms and not task.step.spec.long_running:
            self._withheld_ends.withhold(worker, row.number, until_ms)

    def _log_skipped(self, worker, row):
        """Log a skipped end whose run is still tracked."""
        if (row.task, row.run_id) not in worker.runs:
            return  # expected: an end is reported until it is stored
        self._context.count("run_ends", "skipped")
        self._context.note(
            "end_skipped",
            level="WARNING",
            task=row.task,
            run=row.run_id,
            worker=worker.worker_id,
            how=row.how,
            number=row.number,
            heard_end=worker.received_end,
        )

    def apply_running(self, worker, report, now_ms):
        """Apply the runs that a worker reports; stop those that are not tracked."""
        reported_keys = set()
        for row in report.running:
            key = (row.task, row.run_id)
            reported_keys.add(key)
            run = self._run_of(worker, row, now_ms)
            if run is None:
                self._stop_orphaned(worker, row)
                continue
            self._update(run, row, report.clock_ms, now_ms)
        worker.orphaned_runs &= reported_keys

    def _run_of(self, worker, row, now_ms):
        """Return the run that a row reports, or None if it is not tracked."""
        run = worker.runs.get((row.task, row.run_id))
        return run or self._lifecycle.delayed_starts.on_arrival(worker, row, now_ms)

    def _stop_orphaned(self, worker, row):
        key = (row.task, row.run_id)
        if key not in worker.orphaned_runs:
            self._context.note(
                "stray_run",
                level="WARNING",
                task=row.task,
                run=row.run_id,
                worker=worker.worker_id,
            )
        worker.orphaned_runs.add(key)
        self._context.emit(StopRun(run=OrphanedRun(worker=worker, key=key)))

    def _update(self, run, row, clock_ms, now_ms):
        run.reported_ms = now_ms
        if run.state in (RunState.SENT, RunState.RECOVERED):
            self._confirm(run)
            run.confirmed_clock_ms = clock_ms
            if not run.began_ms:
                run.began_ms = now_ms
                run.started_by_previous_owner = True
            run.percent_changed_ms = now_ms
            if not run.task.step.job.is_live or run.task.done:
                self._lifecycle.stop(run, "its job has ended", now_ms=now_ms)
            elif run.stop_reason:
                self._lifecycle.stop(run, run.stop_reason, now_ms=now_ms)
        self._lifecycle.delayed_starts.on_arrived(run)
        if self._is_stop_ineffective(run, clock_ms):
            self._lifecycle.resend_stop(run, now_ms=now_ms)
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        if run.task.losses:
            self._losses.on_run_reported(run, now_ms)
        if run.first_percent < 0:
            run.first_percent, run.first_reported_ms = row.percent, now_ms
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_changed_ms = now_ms
        run.tail_ms = row.tail_ms

    def _confirm(self, run):
        """Mark a run as confirmed by its worker, maybe by a newer incarnation."""
        run.state = RunState.LIVE
        run.task.step.job.has_run = True
        if run.is_of_earlier_incarnation:
            run.born_epoch_ms = run.worker.born_epoch_ms
            run.is_carried_over = False
            self._context.journal.mark_task_changed(run.task)

    def _is_stop_ineffective(self, run, clock_ms):
        """Return whether a run continues long after its stop was acknowledged."""
        if run.state is not RunState.STOPPING or not run.stop_clock_ms:
            return False
        bound_ms = INEFFECTIVE_STOP_FACTOR * self._context.bounds.stop_timeout_ms
        return clock_ms > run.stop_clock_ms + bound_ms

    def release_missing(self, worker, report, answered_poll_ms, now_ms):
        """Release the runs that the worker neither runs nor can start any more.

        What a report without all ends does not name may have ended: its run stays until
        its end is listed, or all ends are.
        """
        lost_runs, unnamed = [], 0
        for run in list(worker.runs.values()):
            if run.reported_ms == now_ms:
                continue
            if run.is_suspect and run.suspected_ms <= answered_poll_ms:
                self._lifecycle.stop(run, UNANSWERED_START_REASON, now_ms=now_ms)
            elif run.is_of_earlier_incarnation and run.state is RunState.RECOVERED:
                if not run.is_carried_over:
                    self._lifecycle.delayed_starts.expect_recovered(run)
                lost_runs.append(run)
            elif self._is_gone(run, report.clock_ms):
                if not report.has_all_ends:
                    unnamed += 1
                    continue
                if run.state is RunState.RECOVERED:
                    self._lifecycle.delayed_starts.expect_recovered(run)
                self._context.count("run_ends", "vanished")
                self._context.note(
                    "run_vanished",
                    task=run.task.name,
                    run=run.run_id,
                    worker=worker.worker_id,
                    state=run.state.name.lower(),
                )
                self._lifecycle.release(run, now_ms=now_ms)
        self._note_unlisted_ends(worker, report, unnamed)
        if lost_runs:
            self._losses.on_worker_lost(
                worker, lost_runs, is_certain=True, now_ms=now_ms
            )

    def _note_unlisted_ends(self, worker, report, unnamed):
        """Tell when a worker begins and ceases to list its ends in part."""
        if not report.has_all_ends:
            self._context.count("looks", "ends_in_part")
        if worker.has_unlisted_ends == (not report.has_all_ends):
            return
        worker.has_unlisted_ends = not report.has_all_ends
        self._context.note(
            "ends_listed_in_part" if worker.has_unlisted_ends else "ends_listed_whole",
            worker=worker.worker_id,
            ended=len(report.ended),
            running=len(report.running),
            unnamed_runs=unnamed,
            stored_end=worker.stored_end,
        )

    def _is_gone(self, run, clock_ms):
        if run.state is RunState.RECOVERED:
            return True  # the fence rejects late starts of the previous owner
        if run.state is RunState.LIVE:
            return bool(run.confirmed_clock_ms) and clock_ms > run.confirmed_clock_ms
        if run.state is RunState.STOPPING:
            return bool(run.stop_clock_ms) and clock_ms > run.stop_clock_ms
        return False
