"""Starts and stops, and what their answers, or silence, mean."""

from enum import StrEnum

from attrs import frozen

from ..effects import StopRun
from ..state import RunState
from .run_reconciler import UNANSWERED_START_REASON
from .stop_priority import sort_by_stop_priority

__all__ = ["CommandAnswer", "CommandTracker", "Refusal"]

# A stop that got no answer is sent again after this long. The task can't be started
# elsewhere before it is answered, so it is asked again soon; the wait for the answer
# itself comes on top.
STOP_AGAIN_MS = 60.0
# A stop whose outcome is not known at all is sent again after this long: orders are
# answered, or given up, within 0.3 s.
STOP_LOST_MS = 500.0
# The look after an unanswered start tells whether the run is there. Where that is not
# answered in this time either, the run is forbidden.
DOUBT_MS = 150.0
# A stop is answered within 0.3 s, asked again until it is, and carried out within the
# worker's bound after that. A run that is still there this long after all of it is
# told once, so that an order that went astray shows while its task runs on.
STOP_OVERDUE_MS = 1_000.0


class Refusal(StrEnum):
    """Name why a worker did not carry an order out."""

    NONE = ""
    FENCED = "fenced"  # a newer owner has been there
    OLD_RUN = "old_run"  # the run number is not above one that ended there
    LATE = "late"  # the order's deadline had passed
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"  # the policy's permission is missing or has lapsed
    REJECTED = "rejected"  # the worker can't make sense of it
    UNWELL = "unwell"  # the worker turns orders away
    OTHER_LIFE = "other_life"  # another life of the worker answers there
    NOT_SENT = "not_sent"  # nothing has left this process
    SILENCE = "silence"  # no answer: it may be carried out, even much later


@frozen(kw_only=True)
class CommandAnswer:
    """Hold a worker's answer to an order; `clock_ms` is on the worker's clock."""

    refusal: Refusal = Refusal.NONE
    clock_ms: int = 0


class CommandTracker:
    """Follow each start and stop until its outcome is certain."""

    def __init__(self, *, context, lifecycle, poller, advice):
        self._context = context
        self._lifecycle = lifecycle
        self._looks = poller
        self._advice = advice

    def may_start(self, run, now_ms):
        """Tell whether a stored intent is still wanted; drop it where it isn't."""
        job = run.task.step.job
        if run.state is not RunState.INTENDED or not job.is_live:
            self._lifecycle.release(run, now_ms=now_ms)
            return False
        obstacle = self._obstacle(run, now_ms)
        if obstacle:
            self._context.count("retries", obstacle)
            for member in _not_sent_with(run):
                self._lifecycle.release(member, now_ms=now_ms)
            return False
        run.state = RunState.SENT
        run.began_ms = now_ms
        run.resumed = bool(run.task.checkpoint)
        return True

    def _obstacle(self, run, now_ms):
        """Return what has changed since a start was decided on, "" if nothing has.

        A gang starts as a whole, so what keeps one member keeps all of them.
        """
        if self._context.is_worker_list_stale(now_ms):
            return "list_stale"
        if run.step.gang:
            obstacle = self._gang_obstacle(run, now_ms)
            if obstacle:
                return obstacle
        for member in _not_sent_with(run):
            if member.worker.is_over:
                return "worker_restarted"
            if member.worker.entry.is_lapsed:
                return "entry_lapsed"  # how much room it has now is not known
            if member.worker.is_overcommitted:
                return "worker_shrank"
            if not self._advice.has_ticket(run.task.step, member.worker, now_ms):
                return "ticket_lapsed"
        return ""

    @staticmethod
    def _gang_obstacle(run, now_ms):
        """Return what would keep the members waiting that leave with a start."""
        members = run.task.step.members(run.run_id)
        if len(members) < len(run.task.step.tasks):
            return "gang_incomplete"
        if any(member.state is RunState.STOPPING for member in members):
            return "gang_stopped"
        if any(member.worker.is_silent(now_ms) for member in members):
            return "worker_silent"
        return ""

    def on_start_answer(self, run, answer, *, now_ms):
        """Apply the answer to a start."""
        if run.state is RunState.GONE:
            self._on_late_answer(run, answer, now_ms)
            return
        if answer.refusal is Refusal.NONE and answer.clock_ms:
            self._confirmed(run, answer, now_ms)
        elif answer.refusal in (Refusal.NONE, Refusal.SILENCE):
            # Without the worker's clock, no later look could tell that the run is gone.
            self._in_doubt(run, now_ms)
        else:
            self._refused(run, answer.refusal, now_ms)

    def _on_late_answer(self, run, answer, now_ms):
        """Apply the answer to a start whose worker has started again since.

        Where it was refused, it began on neither life, and its task had no part in the
        crash.
        """
        is_certain = answer.refusal not in (Refusal.NONE, Refusal.SILENCE)
        if run.successor is not None and is_certain:
            self._lifecycle.release(run.successor, now_ms=now_ms)

    def _confirmed(self, run, answer, now_ms):
        run.confirmed_clock_ms = answer.clock_ms
        if run.state is RunState.SENT:
            run.state = RunState.LIVE
            run.task.step.job.has_run = True
            run.percent_changed_ms = now_ms
        self._looks.request_poll(run.worker, now_ms)

    def _in_doubt(self, run, now_ms):
        """Ask the worker whether a run is there; only an absent one is forbidden."""
        if run.state is RunState.SENT:
            self._context.count("retries", "start_unanswered")
            run.suspected_ms = now_ms
            run.worker.suspected_ms = now_ms
            self._looks.suspect_hall(run.worker, now_ms)

    def _refused(self, run, refusal, now_ms):
        worker, step = run.worker, run.task.step
        self._context.count("retries", f"start_{refusal}")
        if refusal is Refusal.NO_ROOM:
            worker.has_reported = False
            self._looks.request_poll(worker, now_ms)
        elif refusal is Refusal.NO_TICKET:
            step.tickets.pop(worker.worker_id, None)
        elif refusal is Refusal.UNWELL:
            worker.health.pause(now_ms)
        elif refusal is Refusal.OLD_RUN:
            run.task.avoided_workers.add(worker.worker_id)
        self._context.note(
            "start_refused",
            task=run.task.name,
            run=run.run_id,
            worker=worker.worker_id,
            reason=str(refusal),
        )
        self._lifecycle.release(run, now_ms=now_ms)

    def on_stop_answer(self, run, answer, *, now_ms):
        """Apply the answer to a stop."""
        if run.state is RunState.GONE:
            return
        answered = answer.refusal in (Refusal.NONE, Refusal.REJECTED)
        if answered and answer.clock_ms:
            self._context.count("stops", "answered")
            self._context.pending_stops.pop(run, None)
            run.stop_clock_ms = answer.clock_ms
            run.worker.stopped.add(run.key)
            run.worker.stop_answered_ms = now_ms
            self._looks.request_poll(run.worker, now_ms)
        else:
            run.stop_due_ms = now_ms + STOP_AGAIN_MS

    def stop_unconfirmed_starts(self, now_ms):
        """Have the runs stopped that were in doubt for too long."""
        for worker in self._context.workers.values():
            for run in list(worker.runs.values()):
                if run.is_suspect and now_ms - run.suspected_ms > DOUBT_MS:
                    self._lifecycle.stop(run, UNANSWERED_START_REASON, now_ms=now_ms)

    def send_stops(self, now_ms):
        """Send the stops that are owed and due to the workers that have an address."""
        due = [
            run
            for run in self._context.pending_stops
            if run.worker.entry.host and now_ms >= run.stop_due_ms
        ]
        for run in sort_by_stop_priority(due, self._context.live_jobs.values()):
            if run.stop_attempts:
                self._context.count("retries", "stop_unanswered")
            run.stop_attempts += 1
            run.stop_due_ms = now_ms + STOP_LOST_MS
            self._context.emit(StopRun(run=run))

    def log_overdue_stops(self, now_ms):
        """Tell once of each run that is still there long after its stop was due."""
        owed_before_ms = now_ms - STOP_OVERDUE_MS - self._context.bounds.stop_timeout_ms
        for run in self._runs_to_stop():
            if run.stop_pending_since_ms < owed_before_ms and not run.stop_is_overdue:
                run.stop_is_overdue = True
                self._note_overdue(run, now_ms)

    def _runs_to_stop(self):
        """Return the runs that are there though their stop is owed or was answered."""
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


def _not_sent_with(run):
    """Return the starts that leave together: those of a gang, or one alone."""
    if not run.step.gang:
        return [run]
    members = run.task.step.members(run.run_id)
    return [member for member in members if not member.was_sent]
