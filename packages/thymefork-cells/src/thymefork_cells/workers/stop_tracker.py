"""Track stop commands to workers until their outcome is known."""

from collections import defaultdict
from weakref import WeakKeyDictionary

from ..effects import StopRun
from ..state import RunState
from .commands import Refusal
from .stop_priority import sort_by_stop_priority
from .stop_window import StopWindow

__all__ = ["StopTracker"]

# Delay before an unanswered stop is sent again. It is short, since the task can't start
# elsewhere until the stop is acknowledged.
RETRY_DELAY_MS = 60.0
# A stop without any outcome, not even a missing answer, is sent again after this time.
# Beside the time that the worker takes, commands are given up after 0.3 s.
OUTCOME_TIMEOUT_MS = 500.0
# A run that still exists this long after its stop timeout is logged once.
OVERDUE_MS = 1_000.0
# Stops are sent so as to be done in this fraction of the time they have; the rest is
# for stops without an answer and for a change of owner.
TARGET_FRACTION = 1 / 3


class StopTracker:
    """Send pending stops, as many at a time as each worker needs, until acknowledged.

    A worker may take a while over each stop, so that a fixed number at a time would
    have many tasks run on for longer than callers were told.
    """

    def __init__(self, *, context, poller):
        self._context = context
        self._poller = poller
        self._windows = WeakKeyDictionary()

    def on_answer(self, run, answer, *, now_ms):
        """Process the outcome of a stop, and send the worker the next one."""
        window = self._window(run.worker)
        self._record_outcome(window, run, answer, now_ms)
        if run.state is not RunState.GONE:
            self._apply(run, answer, now_ms)
        self._send_waiting(window, now_ms)

    def _window(self, worker):
        window = self._windows.get(worker)
        if window is None:
            window = self._windows[worker] = StopWindow()
        return window

    def _record_outcome(self, window, run, answer, now_ms):
        sent_ms = window.in_flight.pop(run, None)
        if answer.refusal is Refusal.NOT_SENT:
            self._context.count("stops", "not_sent")
        elif sent_ms is not None:
            is_answered = answer.refusal is not Refusal.SILENCE
            kind = "answered" if is_answered else "unanswered"
            self._context.observe("stop", now_ms - sent_ms, kind)
            # Silence tells how long stops take only if the worker has been heard since.
            if is_answered or run.worker.last_answer_ms > sent_ms:
                window.record_stop_time(now_ms - sent_ms)

    def _apply(self, run, answer, now_ms):
        answered = answer.refusal in (Refusal.NONE, Refusal.REJECTED)
        if answered and answer.clock_ms:
            self._context.count("stops", "answered")
            self._context.pending_stops.pop(run, None)
            run.stop_clock_ms = answer.clock_ms
            run.worker.stopped.add(run.key)
            run.worker.stop_answered_ms = now_ms
            self._poller.request_poll(run.worker, now_ms)
        else:
            run.stop_due_ms = now_ms + RETRY_DELAY_MS

    # Sending -----------------------------------------------------------------

    def send_due(self, now_ms):
        """Send the stops that are due to workers with a known address.

        The others wait until the worker has answered one.
        """
        if not self._context.pending_stops:
            return
        open_workers = self._workers_with_room(now_ms)
        due = [
            run
            for run in self._context.pending_stops
            if run.worker in open_workers and now_ms >= run.stop_due_ms
        ]
        for run in sort_by_stop_priority(due, self._context.live_jobs.values()):
            window = self._window(run.worker)
            window.waiting.append(run)
            self._send_waiting(window, now_ms)

    def _workers_with_room(self, now_ms):
        """Resize all windows; return the workers that may be sent further stops now."""
        workers = set()
        for worker, runs in self._pending_by_worker().items():
            window = self._window(worker)
            self._resize(worker, window, runs, now_ms)
            if window.has_room:
                window.waiting.clear()
                workers.add(worker)
        return workers

    def _pending_by_worker(self):
        pending = defaultdict(list)
        for run in self._context.pending_stops:
            if run.worker.entry.host:
                pending[run.worker].append(run)
        return pending

    def _resize(self, worker, window, pending, now_ms):
        stop_timeout_ms = self._context.bounds.stop_timeout_ms
        window.drop_sent_before(now_ms - stop_timeout_ms - OUTCOME_TIMEOUT_MS)
        target_ms = TARGET_FRACTION * self._context.bounds.cancel_ms
        due_ms = (run.stop_pending_since_ms + target_ms for run in pending)
        is_unresponsive = worker.is_unresponsive(now_ms)
        window.resize(due_ms, now_ms, is_unresponsive=is_unresponsive)

    def _send_waiting(self, window, now_ms):
        while window.waiting and window.has_room and self._has_slot():
            run = window.waiting.popleft()
            if run in self._context.pending_stops and now_ms >= run.stop_due_ms:
                self._send(window, run, now_ms)

    def _has_slot(self):
        """Return whether this process may have another stop in flight."""
        slots = self._context.stop_slots
        if slots is None:
            return True
        return sum(len(one.in_flight) for one in self._windows.values()) < slots

    def _send(self, window, run, now_ms):
        if run.stop_attempts:
            self._context.count("retries", "stop_unanswered")
        run.stop_attempts += 1
        run.stop_due_ms = now_ms + OUTCOME_TIMEOUT_MS
        window.in_flight[run] = now_ms
        self._context.count("stops", "sent")
        self._context.emit(StopRun(run=run))

    # Supervision -------------------------------------------------------------

    def log_overdue(self, now_ms):
        """Log once each run that still exists long after its stop was due."""
        pending_before_ms = now_ms - OVERDUE_MS - self._context.bounds.stop_timeout_ms
        for run in self._unresolved_stops():
            if (
                run.stop_pending_since_ms < pending_before_ms
                and not run.stop_is_overdue
            ):
                run.stop_is_overdue = True
                self._note_overdue(run, now_ms)

    def _unresolved_stops(self):
        """Return the runs whose stop is pending, or acknowledged and not finished."""
        answered = [
            worker.runs[key]
            for worker in self._context.workers.values()
            for key in worker.stopped
            if key in worker.runs
        ]
        return [*self._context.pending_stops, *answered]

    def _note_overdue(self, run, now_ms):
        worker = run.worker
        self._context.count("stops", "overdue")
        self._context.note(
            "stop_overdue",
            level="WARNING",
            task=run.task.name,
            run=run.run_id,
            worker=worker.worker_id,
            reason=run.stop_reason,
            for_ms=round(now_ms - run.stop_pending_since_ms),
            answered=run.stop_clock_ms > 0,
            worker_listed=worker.is_listed,
            worker_heard_ms_ago=worker.heard_ms_ago(now_ms),
        )
