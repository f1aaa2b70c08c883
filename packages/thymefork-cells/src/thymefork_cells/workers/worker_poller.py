"""Poll workers for their runs, and process their reports or missing answers."""

from ..effects import EndsStored, PollWorker
from ..state.worker import MAX_UNANSWERED_POLLS
from .lease_duration import lease_ms_for, max_lease_duration_ms
from .poll_retry import poll_retry_delay_ms
from .run_reconciler import RunReconciler

__all__ = ["WorkerPoller"]

# A worker holds its answer this long unless something changes (long polling). Each poll
# renews the leases there, so `LEASE_MS` has to outlast two unanswered ones.
POLL_WAIT_MS = 700
# The same for a worker with short leases, which have to outlast one unanswered poll.
SHORT_LEASE_POLL_WAIT_MS = 300
# Delay between polls while stops or orphaned runs are unresolved.
SETTLING_POLL_DELAY_MS = 40.0
# Minimum time between quick polls while an acknowledged stop is unresolved.
QUICK_POLL_INTERVAL_MS = 100.0
# Longest wait of a poll while the store is unavailable, so that answers stay recent
# enough for the quorum (see quorum.py).
OUTAGE_POLL_WAIT_MS = 300
# A worker that answered within this time does not become suspect with its hall.
RECENT_ANSWER_MS = 40.0
# The clock of a worker without runs is read this often. A start there gets a lease that
# is shorter by the drift that the clock may have had since, 0.5 s at most.
CLOCK_MAX_AGE_MS = 20_000.0
# A worker whose ends are not all acknowledged answers each poll at once, so it is
# polled this often.
WITHHELD_POLL_INTERVAL_MS = 100.0
# Checking all workers for due polls is expensive, so it is done this often. Workers
# with changes are checked in the next cycle.
FULL_SCAN_INTERVAL_MS = 20.0


class WorkerPoller:
    """Schedule polls and process their answers."""

    def __init__(self, *, context, lifecycle, losses, unstored_ends, withheld_ends):
        self._context = context
        self._losses = losses
        self._unstored_ends = unstored_ends
        self._withheld_ends = withheld_ends
        self._reconciler = RunReconciler(
            context=context,
            lifecycle=lifecycle,
            losses=losses,
            unstored_ends=unstored_ends,
            withheld_ends=withheld_ends,
        )
        self._changed = {}
        self._scan_due_ms = 0.0
        self._next_due_ms = 0.0

    def request_poll(self, worker, now_ms):
        """Poll a worker as soon as the poll in flight is answered."""
        worker.poll_due_ms = min(worker.poll_due_ms or now_ms, now_ms)
        self._changed[worker] = None

    def suspect_hall(self, worker, now_ms):
        """Poll the other workers of a silent worker's hall.

        A network fault mostly affects a whole hall, so they are suspect and get no new
        work until they answer. The silence of a worker that leaves, or that is not
        listed, tells nothing of its hall.
        """
        if worker.entry.draining or not worker.is_listed:
            return
        hall = worker.entry.hall
        for other in self._context.workers.values():
            if other.entry.hall != hall or not other.entry.host:
                continue
            if other.suspected_ms > other.last_answer_ms:
                continue
            if now_ms - other.last_answer_ms > RECENT_ANSWER_MS:
                other.suspected_ms = now_ms
                other.poll_due_ms = min(other.poll_due_ms, now_ms)
        self._scan_due_ms = now_ms

    def schedule(self, now_ms):
        """Emit the polls that are due; return when the next one is."""
        changed, self._changed = self._changed, {}
        if now_ms >= min(self._scan_due_ms, self._next_due_ms):
            self._scan_due_ms = now_ms + FULL_SCAN_INTERVAL_MS
            self._next_due_ms = now_ms + 1_000.0
            changed = list(self._context.workers.values())
        for worker in changed:
            if self._context.workers.get(worker.worker_id) is not worker:
                continue  # its incarnation is over
            due_ms = self._poll_if_due(worker, now_ms)
            if due_ms is not None:
                self._next_due_ms = min(self._next_due_ms, due_ms)
        return self._next_due_ms

    def _poll_if_due(self, worker, now_ms):
        """Poll a worker if that is due; return when it is otherwise, if at all."""
        if not worker.entry.host:
            return None
        if worker.is_polling:
            self._send_quick_poll(worker, now_ms)
            return None
        if not self._is_needed(worker, now_ms):
            return None
        due_ms = self._due_ms(worker)
        if due_ms <= now_ms:
            self._send_poll(worker, now_ms)
            return None
        return due_ms

    def _due_ms(self, worker):
        """Return when a worker has to be polled next.

        While run ends are being stored, a poll would only report them again, so it
        waits until the leases have to be renewed.
        """
        if not worker.is_storing_ends:
            return worker.poll_due_ms
        return max(worker.poll_due_ms, worker.poll_sent_ms + self._poll_wait_ms(worker))

    def _is_needed(self, worker, now_ms):
        if worker.runs or worker.orphaned_runs or worker.needs_answer:
            return True
        if worker.is_watched(now_ms):
            return True
        if not worker.has_reported:
            return worker.is_listed or self._needs_quorum
        if (
            worker.suspected_ms > worker.last_answer_ms
            or self._context.is_store_unavailable
        ):
            return True
        if self._context.defers_idle_polls:
            return False  # it keeps its ends until they are acknowledged
        if self._withheld_ends.end_to_acknowledge(worker) > worker.acknowledged_end:
            return True
        return now_ms - worker.clock_read_ms > CLOCK_MAX_AGE_MS

    @property
    def _needs_quorum(self):
        """Return whether workers without runs are asked for the quorum."""
        return self._context.is_store_unavailable or not self._context.has_quorum

    def _send_quick_poll(self, worker, now_ms):
        """Send a second poll, without a wait, if something has to be known at once."""
        if worker.is_quick_polling or worker.unanswered_in_row:
            return
        is_suspect = worker.suspected_ms > worker.last_answer_ms
        if is_suspect or self._needs_quick_poll(worker, now_ms):
            worker.is_quick_polling = True
            worker.quick_poll_sent_ms = now_ms
            self._context.emit(
                PollWorker(
                    worker=worker,
                    wait_ms=0,
                    lease_ms=0.0,
                    last_end=self._withheld_ends.end_to_acknowledge(worker),
                    quick=True,
                )
            )

    def _needs_quick_poll(self, worker, now_ms):
        """Return whether a poll is needed beside the one in flight."""
        if not (
            worker.stopped
            or worker.needs_answer
            or self._withheld_ends.withholds_any(worker)
        ):
            return False
        if worker.stop_answered_ms > worker.quick_poll_sent_ms:
            return True
        return now_ms - worker.quick_poll_sent_ms >= QUICK_POLL_INTERVAL_MS

    def _send_poll(self, worker, now_ms):
        can_wait = worker.runs or worker.is_watched(now_ms)
        can_wait = can_wait and worker.has_reported and not worker.orphaned_runs
        can_wait = can_wait and not worker.stopped and not worker.is_storing_ends
        can_wait = can_wait and worker.suspected_ms <= worker.last_answer_ms
        can_wait = can_wait and not worker.unanswered_in_row
        can_wait = can_wait and not self._withheld_ends.withholds_any(worker)
        renews_leases = self._renews_leases(worker)
        worker.is_polling = True
        worker.poll_sent_ms = now_ms
        self._context.emit(
            PollWorker(
                worker=worker,
                wait_ms=self._poll_wait_ms(worker) if can_wait else 0,
                lease_ms=lease_ms_for(worker) if renews_leases else 0.0,
                last_end=self._withheld_ends.end_to_acknowledge(worker),
            )
        )

    def _renews_leases(self, worker):
        """Return whether a poll renews the leases on a worker.

        Nothing is renewed for runs that only have to stop: if their stop fails, they
        end with the lease.
        """
        if worker.clock_offset_ms is None or worker.unanswered_in_row:
            return False
        return any(run.may_continue for run in worker.runs.values())

    def _poll_wait_ms(self, worker):
        if self._context.is_store_unavailable:
            return OUTAGE_POLL_WAIT_MS
        return SHORT_LEASE_POLL_WAIT_MS if worker.has_short_leases else POLL_WAIT_MS

    def record_lease(self, worker, lease_ms, *, now_ms):
        """Record a lease before it is sent: it may take effect without an answer."""
        until_ms = now_ms + max_lease_duration_ms(lease_ms)
        worker.may_run_until_ms = max(worker.may_run_until_ms, until_ms)
        worker.lease_sent_ms = now_ms

    # Answers -----------------------------------------------------------------

    def on_poll_unanswered(self, worker, *, quick, now_ms):
        """Process a poll that got no answer."""
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
        worker.poll_due_ms = now_ms + poll_retry_delay_ms(worker, now_ms)
        self.suspect_hall(worker, now_ms)
        if worker.unanswered_in_row == MAX_UNANSWERED_POLLS:
            self._context.note(
                "worker_silent",
                worker=worker.worker_id,
                last_answer_ms_ago=round(now_ms - worker.last_answer_ms),
                runs=len(worker.runs),
            )

    def on_report(self, worker, report, last_end, *, quick=False, now_ms):
        """Process a worker's report."""
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
        worker.read_clock(report.clock_ms, now_ms)
        has_new_ends = self._reconciler.apply_ends(worker, report, now_ms)
        if report.clock_ms <= worker.last_clock_ms:  # a newer one was processed
            self._log_outdated(worker, report)
        else:
            worker.outdated_reports_in_row = 0
            worker.last_clock_ms = report.clock_ms
            self._reconciler.apply_running(worker, report, now_ms)
            self._reconciler.release_missing(worker, report, answered_poll_ms, now_ms)
        if not worker.has_reported:
            worker.has_reported = not worker.orphaned_runs
            self._context.needs_plan = True
        worker.poll_due_ms = now_ms
        if has_new_ends:
            worker.is_storing_ends = True
            self._context.journal.after(
                EndsStored(worker=worker, last_end=worker.received_end)
            )
        if worker.is_storing_ends:
            # It would answer at once, since its ends are not acknowledged yet.
            worker.poll_due_ms = now_ms + OUTAGE_POLL_WAIT_MS
        elif self._is_settling(worker):
            worker.poll_due_ms = now_ms + SETTLING_POLL_DELAY_MS
        elif self._context.is_store_unavailable and not worker.runs:
            worker.poll_due_ms = now_ms + OUTAGE_POLL_WAIT_MS
        elif self._withheld_ends.withholds_any(worker):
            worker.poll_due_ms = now_ms + WITHHELD_POLL_INTERVAL_MS

    def _log_outdated(self, worker, report):
        """Log the second outdated report in a row; a single one may just be late."""
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

    def on_ends_stored(self, worker, last_end, *, now_ms):
        """Have the worker discard the run ends that are stored now."""
        self._unstored_ends.mark_stored(worker, last_end, now_ms=now_ms)
        worker.stored_end = max(worker.stored_end, last_end)
        worker.is_storing_ends = worker.received_end > worker.stored_end
        worker.poll_due_ms = now_ms
        self._changed[worker] = None
