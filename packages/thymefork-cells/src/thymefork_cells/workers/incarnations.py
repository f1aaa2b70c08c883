"""Track the incarnations of workers that restart under the same id.

A worker's clock, run end numbers, fence and stopped runs are reset by a restart, so the
new incarnation is tracked as a new worker.
"""

from enum import Enum, auto

from attrs import evolve

from ..state import Run, RunState, Worker

__all__ = ["IncarnationMatch", "IncarnationTracker"]

# Bounds the ids that are kept of workers that never come back.
MAX_REMEMBERED_WORKERS = 10_000


class IncarnationMatch(Enum):
    """Relation of an incarnation to the tracked one."""

    SAME = auto()
    NEXT = auto()
    EARLIER = auto()


class IncarnationTracker:
    """Tell a worker's incarnations apart and move from one to the next."""

    def __init__(self, *, context, lifecycle, losses, extended_leases):
        self._context = context
        self._lifecycle = lifecycle
        self._losses = losses
        self._extended_leases = extended_leases
        # (start time, number) of the latest incarnation by worker id
        self._numbers = {}

    def incarnation_number(self, worker_id, born_epoch_ms):
        """Return the number of a worker's incarnation, counted from 0 by this owner.

        Numbers outlive the worker's record: the same incarnation would reject the lower
        fence of a lower number.
        """
        born_before_ms, incarnation_number = self._numbers.pop(
            worker_id, (born_epoch_ms, 0)
        )
        if born_before_ms != born_epoch_ms:
            incarnation_number += 1
        self._numbers[worker_id] = (born_epoch_ms, incarnation_number)
        while len(self._numbers) > MAX_REMEMBERED_WORKERS:
            del self._numbers[next(iter(self._numbers))]
        return incarnation_number

    def match(self, worker, born_epoch_ms):
        """Return how the incarnation that began then relates to the tracked one."""
        if not worker.born_epoch_ms and not worker.answered_poll_ms:
            self._adopt(worker, born_epoch_ms)
        if born_epoch_ms == worker.born_epoch_ms:
            return IncarnationMatch.SAME
        if born_epoch_ms > worker.born_epoch_ms:
            return IncarnationMatch.NEXT
        return IncarnationMatch.EARLIER

    def _adopt(self, worker, born_epoch_ms):
        """Take the first known start time for that of the tracked incarnation."""
        worker.born_epoch_ms = born_epoch_ms
        worker.incarnation_number = self.incarnation_number(
            worker.worker_id, born_epoch_ms
        )

    def match_entry(self, worker, entry):
        """Return which incarnation an entry describes.

        Entries may lack a start time, which then comes with the worker's reports.
        """
        if not entry.born_epoch_ms and not worker.entry.born_epoch_ms:
            return IncarnationMatch.SAME
        if not worker.born_epoch_ms and not worker.is_listed:
            self._adopt(worker, entry.born_epoch_ms)  # its reports have no start time
        return self.match(worker, entry.born_epoch_ms)

    def match_report(self, worker, born_epoch_ms, now_ms):
        """Return which incarnation a report comes from.

        After the worker's wall clock was set back, a new incarnation has an earlier
        start time. It is accepted once nothing can run there any more.
        """
        relation = self.match(worker, born_epoch_ms)
        if relation is not IncarnationMatch.EARLIER or not born_epoch_ms or worker.runs:
            return relation
        return relation if now_ms <= worker.runs_until_ms else IncarnationMatch.NEXT

    def count_ignored_report(self, born_epoch_ms):
        """Count a report that is not from the tracked incarnation."""
        reason = "earlier_life" if born_epoch_ms else "life_untold"
        self._context.count("looks", reason)

    def start_next(self, worker, *, entry, born_epoch_ms, now_ms):
        """End a worker's incarnation; return the next one."""
        self._context.note(
            "worker_life_changed",
            worker=worker.worker_id,
            born_epoch_ms=born_epoch_ms,
            was_born_epoch_ms=worker.born_epoch_ms,
            heard_end=worker.received_end,
            runs=len(worker.runs),
        )
        worker.is_over = True
        next_worker = self._next_worker(worker, entry, born_epoch_ms, now_ms)
        self._context.workers[worker.worker_id] = next_worker
        self._losses.on_incarnation_over(worker, now_ms=now_ms)
        self._discard_tickets(worker.worker_id)
        self._end_runs(worker, next_worker, now_ms)
        self._context.needs_plan = True
        return next_worker

    def _end_runs(self, worker, next_worker, now_ms):
        """Release the runs that were reported; move the others to the next incarnation.

        A delayed start command may still be carried out by the next incarnation.
        """
        sent = [run for run in worker.runs.values() if run.was_sent]
        reported = [run for run in sent if run.reported_ms]
        # Evaluated while the runs beside them are still on the worker.
        carried = [
            (run, self._losses.loss_of(run, now_ms))
            for run in sent
            if not run.reported_ms
        ]
        if reported:
            self._context.count("run_ends", "worker_restarted", len(reported))
            self._losses.on_worker_lost(
                worker, reported, is_certain=True, now_ms=now_ms
            )
        for run, loss in carried:
            self._carry_over(run, next_worker, loss)

    def _next_worker(self, worker, entry, born_epoch_ms, now_ms):
        """Return the next incarnation, of which nothing is known yet.

        It may have taken a lease that was sent to the one before.
        """
        next_worker = Worker(
            entry=entry,
            born_epoch_ms=born_epoch_ms,
            incarnation_number=self.incarnation_number(worker.worker_id, born_epoch_ms),
            tracked_since_ms=now_ms,
            is_listed=worker.is_listed,
            unlisted_since_ms=worker.unlisted_since_ms,
            has_short_leases=worker.has_short_leases,
            watched_until_ms=worker.watched_until_ms,
            is_recorded=worker.is_recorded,
            inherited_until_ms=worker.inherited_until_ms,
            poll_due_ms=now_ms,
            slowness=worker.slowness,
        )
        self._extended_leases.on_next_incarnation(worker, next_worker, now_ms)
        return next_worker

    def placeholder_entry(self, worker):
        """Return an entry for an incarnation whose own entry was not read yet.

        Its capacity may have changed, so it gets no work until then.
        """
        return evolve(worker.entry, is_lapsed=True, draining=False, leaves_in_ms=0)

    def _carry_over(self, run, next_worker, loss):
        """Track a run on the next incarnation until that reports whether it runs."""
        task = run.task
        run.worker.remove(run)
        run.state = RunState.GONE
        self._context.pending_stops.pop(run, None)
        run.successor = Run(
            task=task,
            run_id=run.run_id,
            worker=next_worker,
            state=RunState.RECOVERED,
            born_epoch_ms=run.born_epoch_ms,
            stop_reason=run.stop_reason,
            acknowledged_pace_percent=None,
            is_carried_over=True,
            earlier_loss=loss,
            gang_slowness=run.gang_slowness,
            created_epoch_ms=run.created_epoch_ms,
            start_pending_since_ms=run.start_pending_since_ms,
        )
        task.runs[task.runs.index(run)] = run.successor
        next_worker.add(run.successor)

    def _discard_tickets(self, worker_id):
        """Discard the tickets for a worker: they are valid for one incarnation."""
        for job in self._context.live_jobs.values():
            for step in job.steps:
                step.tickets.pop(worker_id, None)
