"""When to ask a worker what it runs, and what its answer, or silence, means."""

from ..effects import EndsStored, PollWorker
from .run_reconciler import RunReconciler

__all__ = ["WorkerPoller"]

# A worker is asked to hold its answer this long: each answer renews all leases
# there, and the lease below has to outlast two missed ones.
LOOK_WAIT_MS = 700
# Everything on a worker may go on this long after the last look was sent: over a
# takeover, and no longer, since a silent worker's tasks wait for its end.
LEASE_MS = 3_000.0
# A worker's steady clock may be 2% slow; its lease then ends that much later.
CLOCK_DRIFT_FACTOR = 1.025
# While an order is being settled, looks do not wait and follow this soon.
SETTLE_MS = 40.0
# A stop takes up to 400 ms on its worker, and the look that waits there tells its end.
# Beside that one, the first look shows runs that were not there; the next, which mostly
# show nothing new, follow at this distance.
SETTLE_BESIDE_MS = 100.0
# While the store is away, workers are looked at this often, since an owner then goes on
# only while most of them take its word (see quorum.py).
QUORUM_WAIT_MS = 300
# A worker heard within this time is not doubted with its hall.
FRESH_MS = 40.0
LEASE_MARGIN_MS = 60.0
# After a look that got no answer, the next one follows this soon, and after each
# further one later, up to the second figure, so that a cut hall costs few looks.
LOOK_AGAIN_MS = 150.0
LOOK_AGAIN_MOST_MS = 400.0
# Leases are renewed only by looks that follow an answered one, so that the tasks of a
# worker that falls silent can be started elsewhere soon. After this many misses in a
# row it counts as silent.
MAX_UNANSWERED_POLLS = 2
# A worker that has answered is checked for a due look in the next turn. All workers are
# checked this often, for what changes elsewhere, since hundreds of them in each turn
# are most of what deciding takes.
SCAN_MS = 20.0


class WorkerPoller:
    """Schedule looks and apply what they bring."""

    def __init__(self, *, context, lifecycle, losses, unstored_ends):
        self._context = context
        self._losses = losses
        self._unstored_ends = unstored_ends
        self._listings = RunReconciler(
            context=context,
            lifecycle=lifecycle,
            losses=losses,
            unstored_ends=unstored_ends,
        )
        self._changed = {}
        self._scan_due_ms = 0.0
        self._next_due_ms = 0.0

    def request_poll(self, worker, now_ms):
        """Have a worker looked at as soon as the look in flight is back."""
        worker.poll_due_ms = min(worker.poll_due_ms or now_ms, now_ms)
        self._changed[worker] = None

    def suspect_hall(self, worker, now_ms):
        """Ask a silent worker's neighbours whether they can be reached.

        A hall is cut off as a whole; until they answer, they get nothing new.
        """
        hall = worker.entry.hall
        for other in self._context.workers.values():
            if other.entry.hall != hall or not other.entry.host:
                continue
            if other.suspected_ms > other.last_answer_ms:
                continue
            if now_ms - other.last_answer_ms > FRESH_MS:
                other.suspected_ms = now_ms
                other.poll_due_ms = min(other.poll_due_ms, now_ms)
        self._scan_due_ms = now_ms

    def schedule(self, now_ms):
        """Emit the looks that are due; return when the next one is."""
        changed, self._changed = self._changed, {}
        if now_ms >= min(self._scan_due_ms, self._next_due_ms):
            self._scan_due_ms = now_ms + SCAN_MS
            self._next_due_ms = now_ms + 1_000.0
            changed = list(self._context.workers.values())
        for worker in changed:
            if self._context.workers.get(worker.worker_id) is not worker:
                continue  # its life is over
            due_ms = self._look_if_due(worker, now_ms)
            if due_ms is not None:
                self._next_due_ms = min(self._next_due_ms, due_ms)
        return self._next_due_ms

    def _look_if_due(self, worker, now_ms):
        """Look at a worker; return when that is due where it is not yet."""
        if not worker.entry.host:
            return None
        if worker.is_polling:
            self._look_quickly(worker, now_ms)
            return None
        if not self._is_needed(worker):
            return None
        due_ms = self._due_ms(worker)
        if due_ms <= now_ms:
            self._look(worker, now_ms)
            return None
        return due_ms

    def _due_ms(self, worker):
        """Return when a worker is to be looked at next.

        While ends are being stored, a look would only list them again; the next one
        follows as soon as they are, or when the leases there have to be renewed. Where
        joins were answered and appends were not, all that ran beside an end lapsed.
        """
        if not worker.storing_ends:
            return worker.poll_due_ms
        return max(worker.poll_due_ms, worker.poll_sent_ms + self._wait_ms())

    def _is_needed(self, worker):
        if not worker.has_reported or worker.runs or worker.orphaned_runs:
            return True
        if (
            worker.suspected_ms > worker.last_answer_ms
            or self._context.is_store_unavailable
        ):
            return True
        if self._context.defers_idle_polls:
            return False  # it keeps its ends until it is told that they are stored
        return worker.stored_end > worker.acknowledged_end

    def _look_quickly(self, worker, now_ms):
        """Look beside the look in flight where something has to be known at once."""
        if worker.is_quick_polling or worker.unanswered_in_row:
            return
        doubted = worker.suspected_ms > worker.last_answer_ms
        if doubted or self._settles_beside(worker, now_ms):
            worker.is_quick_polling = True
            worker.quick_poll_sent_ms = now_ms
            self._context.emit(
                PollWorker(
                    worker=worker,
                    wait_ms=0,
                    lease_ms=0.0,
                    last_end=worker.stored_end,
                    quick=True,
                )
            )

    def _settles_beside(self, worker, now_ms):
        """Tell whether an answered stop wants a look beside the one in flight."""
        if not worker.stopped:
            return False
        if worker.stop_answered_ms > worker.quick_poll_sent_ms:
            return True
        return now_ms - worker.quick_poll_sent_ms >= SETTLE_BESIDE_MS

    def _look(self, worker, now_ms):
        waits = worker.runs and worker.has_reported and not worker.orphaned_runs
        waits = waits and not worker.stopped and not worker.storing_ends
        waits = waits and worker.suspected_ms <= worker.last_answer_ms
        waits = waits and not worker.unanswered_in_row
        renews = self._renews(worker)
        worker.is_polling = True
        worker.poll_sent_ms = now_ms
        self._context.emit(
            PollWorker(
                worker=worker,
                wait_ms=self._wait_ms() if waits else 0,
                lease_ms=LEASE_MS if renews else 0.0,
                last_end=worker.stored_end,
            )
        )

    def _renews(self, worker):
        """Tell whether a look renews the leases on a worker.

        Nothing is renewed for runs that only have to stop: whatever keeps their stop
        from being carried out, they end with the lease, within 3 s.
        """
        if worker.clock_offset_ms is None or worker.unanswered_in_row:
            return False
        return any(run.may_continue for run in worker.runs.values())

    def _wait_ms(self):
        return QUORUM_WAIT_MS if self._context.is_store_unavailable else LOOK_WAIT_MS

    def record_lease(self, worker, lease_ms, *, now_ms):
        """Note a lease right before it is sent: it may be taken, even unanswered."""
        until_ms = now_ms + lease_ms * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
        worker.may_run_until_ms = max(worker.may_run_until_ms, until_ms)
        worker.lease_sent_ms = now_ms

    # Answers -----------------------------------------------------------------

    def on_poll_unanswered(self, worker, *, quick, now_ms):
        """Apply a look that got no answer."""
        if worker.is_over:
            return
        self._changed[worker] = None
        if quick:
            worker.is_quick_polling = False
            self.suspect_hall(worker, now_ms)
            return
        worker.is_polling = False
        worker.unanswered_in_row += 1
        worker.unanswered_since_ms = worker.unanswered_since_ms or now_ms
        again_ms = min(LOOK_AGAIN_MOST_MS, LOOK_AGAIN_MS * worker.unanswered_in_row)
        worker.poll_due_ms = now_ms + again_ms
        self.suspect_hall(worker, now_ms)
        if worker.unanswered_in_row == MAX_UNANSWERED_POLLS:
            self._context.note(
                "worker_silent",
                worker=worker.worker_id,
                last_answer_ms_ago=round(now_ms - worker.last_answer_ms),
                runs=len(worker.runs),
            )

    def on_report(self, worker, report, last_end, *, quick=False, now_ms):
        """Apply what a worker lists."""
        self._changed[worker] = None
        if worker.unanswered_in_row >= MAX_UNANSWERED_POLLS:
            self._context.note("worker_answers", worker=worker.worker_id)
        self._losses.on_answer(worker, now_ms=now_ms)
        if quick:
            worker.is_quick_polling = False
            answered_poll_ms = worker.quick_poll_sent_ms
        else:
            worker.is_polling = False
            answered_poll_ms = worker.poll_sent_ms
        worker.answered_poll_ms = max(worker.answered_poll_ms, answered_poll_ms)
        worker.unanswered_in_row = 0
        worker.unanswered_since_ms = 0.0
        worker.last_answer_ms = now_ms
        worker.acknowledged_end = max(worker.acknowledged_end, last_end)
        self._set_clock(worker, report.clock_ms, now_ms)
        had_ends = self._listings.apply_ends(worker, report, now_ms)
        if report.clock_ms <= worker.last_clock_ms:  # a newer one has overtaken it
            self._note_overtaken(worker, report)
        else:
            worker.outdated_reports_in_row = 0
            worker.last_clock_ms = report.clock_ms
            self._listings.apply_running(worker, report, now_ms)
            self._listings.release_missing(worker, report, answered_poll_ms, now_ms)
        if not worker.has_reported:
            worker.has_reported = not worker.orphaned_runs
            self._context.needs_plan = True
        worker.poll_due_ms = now_ms
        if had_ends:
            worker.storing_ends = True
            self._context.journal.after(
                EndsStored(worker=worker, last_end=worker.heard_end)
            )
        if worker.storing_ends:
            # Its ends are listed until they are stored: it would answer at once.
            worker.poll_due_ms = now_ms + QUORUM_WAIT_MS
        elif self._is_settling(worker):
            worker.poll_due_ms = now_ms + SETTLE_MS
        elif self._context.is_store_unavailable and not worker.runs:
            worker.poll_due_ms = now_ms + QUORUM_WAIT_MS

    def _note_overtaken(self, worker, report):
        """Log a second listing in a row that is set aside; one may be a late answer."""
        self._context.count("looks", "overtaken")
        worker.outdated_reports_in_row += 1
        if worker.outdated_reports_in_row == 2:
            self._context.note(
                "listings_set_aside",
                level="WARNING",
                worker=worker.worker_id,
                clock_ms=report.clock_ms,
                was_clock_ms=worker.last_clock_ms,
                runs=len(worker.runs),
            )

    def _is_settling(self, worker):
        return bool(worker.orphaned_runs or worker.stopped)

    def _set_clock(self, worker, clock_ms, now_ms):
        worker.clock_offset_ms = clock_ms - now_ms

    def on_ends_stored(self, worker, last_end, *, now_ms):
        """Let the worker forget the ends that are stored now."""
        self._unstored_ends.mark_stored(worker, last_end, now_ms=now_ms)
        worker.stored_end = max(worker.stored_end, last_end)
        worker.storing_ends = worker.heard_end > worker.stored_end
        worker.poll_due_ms = now_ms
        self._changed[worker] = None
