"""The lives of a worker: it may start again under its id, knowing nothing of before.

What a worker's clock shows, the numbers of its ends, its fence and the runs that it was
forbidden all begin anew with each life. So nothing that was learned of one life is kept
for the next: a worker that starts again is followed as another worker, as a new owner
follows those that it takes over.
"""

from enum import Enum, auto

from attrs import evolve

from ..state import Run, RunState, Worker

__all__ = ["IncarnationMatch", "IncarnationTracker"]

# Workers that come back under another id leave their old one behind.
MOST_REMEMBERED = 10_000


class IncarnationMatch(Enum):
    """Tell which life of a worker is spoken of."""

    SAME = auto()
    NEXT = auto()
    EARLIER = auto()


class IncarnationTracker:
    """Tell a worker's lives apart, and go from one to the next."""

    def __init__(self, *, context, lifecycle, losses, extended_leases):
        self._context = context
        self._lifecycle = lifecycle
        self._losses = losses
        self._extended_leases = extended_leases
        self._numbers = {}  # by worker id: its latest life's start and number

    def number(self, worker_id, born_epoch_ms):
        """Return which life of a worker this is, counted from 0 by this owner.

        It outlasts the worker's record, which is forgotten after a long silence: with a
        lower number the same life would refuse this owner's fence.
        """
        born_before_ms, number = self._numbers.pop(worker_id, (born_epoch_ms, 0))
        if born_before_ms != born_epoch_ms:
            number += 1
        self._numbers[worker_id] = (born_epoch_ms, number)
        while len(self._numbers) > MOST_REMEMBERED:
            del self._numbers[next(iter(self._numbers))]
        return number

    def match(self, worker, born_epoch_ms):
        """Tell whether the life that began at a moment is the one that is followed."""
        if not worker.born_epoch_ms and not worker.answered_poll_ms:
            worker.born_epoch_ms = born_epoch_ms  # the first word of it
            worker.number = self.number(worker.worker_id, born_epoch_ms)
        if born_epoch_ms == worker.born_epoch_ms:
            return IncarnationMatch.SAME
        if born_epoch_ms > worker.born_epoch_ms:
            return IncarnationMatch.NEXT
        return IncarnationMatch.EARLIER

    def match_entry(self, worker, entry):
        """Tell which life an entry is of; one may tell its start in listings alone."""
        if not entry.born_epoch_ms and not worker.entry.born_epoch_ms:
            return IncarnationMatch.SAME
        return self.match(worker, entry.born_epoch_ms)

    def match_report(self, worker, born_epoch_ms, now_ms):
        """Tell which life a listing comes from.

        Where the worker's time of day was set back, its next life begins before the
        one that is followed. That is believed once nothing can run there any more.
        """
        verdict = self.match(worker, born_epoch_ms)
        if verdict is not IncarnationMatch.EARLIER or not born_epoch_ms or worker.runs:
            return verdict
        return verdict if now_ms <= worker.runs_until_ms else IncarnationMatch.NEXT

    def count_ignored_report(self, born_epoch_ms):
        """Count a listing that is not of the life that is followed."""
        reason = "earlier_life" if born_epoch_ms else "life_untold"
        self._context.count("looks", reason)

    def start_next(self, worker, *, entry, born_epoch_ms, now_ms):
        """End a worker's life; return the next one under its id."""
        self._context.note(
            "worker_life_changed",
            worker=worker.worker_id,
            born_epoch_ms=born_epoch_ms,
            was_born_epoch_ms=worker.born_epoch_ms,
            heard_end=worker.heard_end,
            runs=len(worker.runs),
        )
        worker.is_over = True
        successor = self._successor(worker, entry, born_epoch_ms, now_ms)
        self._context.workers[worker.worker_id] = successor
        self._losses.on_incarnation_over(worker, now_ms=now_ms)
        self._drop_tickets(worker.worker_id)
        self._end_runs(worker, successor, now_ms)
        self._context.needs_plan = True
        return successor

    def _end_runs(self, worker, successor, now_ms):
        """Give up what was there; count on the next life what may yet begin there.

        A run that was listed was on the life that is over, and is gone with it. Of the
        others, a late order may yet begin one on the next life.
        """
        sent = [run for run in worker.runs.values() if run.was_sent]
        listed = [run for run in sent if run.listed_ms]
        # Judged while all that ran beside them is still counted.
        carried = [
            (run, self._losses.loss_of(run, now_ms))
            for run in sent
            if not run.listed_ms
        ]
        if listed:
            self._context.count("run_ends", "worker_restarted", len(listed))
            self._losses.on_worker_lost(worker, listed, is_certain=True, now_ms=now_ms)
        for run, loss in carried:
            self._carry_over(run, successor, loss)

    def _successor(self, worker, entry, born_epoch_ms, now_ms):
        """Return the next life, of which nothing is known yet.

        A lease that was sent and not answered may have been taken by it.
        """
        successor = Worker(
            entry=entry,
            born_epoch_ms=born_epoch_ms,
            number=self.number(worker.worker_id, born_epoch_ms),
            tracked_since_ms=now_ms,
            is_listed=worker.is_listed,
            unlisted_since_ms=worker.unlisted_since_ms,
            inherited_until_ms=worker.inherited_until_ms,
            poll_due_ms=now_ms,
            slowness=worker.slowness,
        )
        self._extended_leases.on_next_incarnation(worker, successor, now_ms)
        return successor

    def placeholder_entry(self, worker):
        """Return what is known of a next life whose own entry was not read yet.

        Its machine may have been given another kind or room since: it gets nothing.
        """
        return evolve(worker.entry, is_lapsed=True, draining=False, leaves_in_ms=0)

    def _carry_over(self, run, successor, loss):
        """Count a run on the next life until that has told whether it is there."""
        task = run.task
        run.worker.remove(run)
        run.state = RunState.GONE
        self._context.pending_stops.pop(run, None)
        run.successor = Run(
            task=task,
            run_id=run.run_id,
            worker=successor,
            state=RunState.RECOVERED,
            born_epoch_ms=run.born_epoch_ms,
            stop_reason=run.stop_reason,
            acknowledged_pace_percent=None,
            is_carried_over=True,
            earlier_loss=loss,
            gang_slowness=run.gang_slowness,
        )
        task.runs[task.runs.index(run)] = run.successor
        successor.add(run.successor)

    def _drop_tickets(self, worker_id):
        """Forget the permissions for a worker: they hold for one life."""
        for job in self._context.live_jobs.values():
            for step in job.steps:
                step.tickets.pop(worker_id, None)
