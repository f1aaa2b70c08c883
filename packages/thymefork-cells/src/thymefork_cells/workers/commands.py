"""Track start commands to workers until their outcome is known."""

from enum import StrEnum

from attrs import frozen

from ..state import MAX_COMMAND_DELAY_MS, RunState
from .run_reconciler import UNANSWERED_START_REASON

__all__ = ["CommandAnswer", "CommandTracker", "Refusal"]

# If no report confirms an unanswered start within this time, the run is stopped.
START_CONFIRMATION_TIMEOUT_MS = 150.0


class Refusal(StrEnum):
    """Reason for which a worker did not carry out a command."""

    NONE = ""
    FENCED = "fenced"  # the worker has accepted a newer owner's fence
    OLD_RUN = "old_run"  # a run with this or a higher number has ended there
    LATE = "late"  # the command's deadline had passed
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"  # the advice service's ticket is missing or has expired
    REJECTED = "rejected"  # the worker can't interpret the command
    UNWELL = "unwell"  # the worker is unhealthy
    OTHER_LIFE = "other_life"  # another incarnation of the worker answered
    NOT_SENT = "not_sent"  # the command has not left this process
    SILENCE = "silence"  # no answer: it may still be carried out


@frozen(kw_only=True)
class CommandAnswer:
    """Hold a worker's answer to a command; `clock_ms` is on the worker's clock."""

    refusal: Refusal = Refusal.NONE
    clock_ms: int = 0


class CommandTracker:
    """Track each start command until its outcome is certain."""

    def __init__(self, *, context, lifecycle, poller, advice):
        self._context = context
        self._lifecycle = lifecycle
        self._poller = poller
        self._advice = advice

    def may_start(self, run, now_ms):
        """Return whether a stored intent may still be sent; release it otherwise."""
        job = run.task.step.job
        if run.state is not RunState.INTENDED or not job.is_live:
            self._lifecycle.release(run, now_ms=now_ms)
            return False
        obstacle = self._obstacle(run, now_ms)
        if obstacle:
            self._context.count("retries", obstacle)
            for member in _unsent_members(run):
                self._lifecycle.release(member, now_ms=now_ms)
            return False
        run.state = RunState.SENT
        run.began_ms = now_ms
        self._lifecycle.delayed_starts.expect(run, now_ms)
        run.resumed = bool(run.task.checkpoint)
        return True

    def _obstacle(self, run, now_ms):
        """Return why a start can't be sent any more, or an empty string.

        A gang starts as a whole, so an obstacle for one member holds for all.
        """
        if self._context.is_worker_list_stale(now_ms):
            return "list_stale"
        if run.step.gang:
            obstacle = self._gang_obstacle(run, now_ms)
            if obstacle:
                return obstacle
        for member in _unsent_members(run):
            if member.worker.is_over:
                return "worker_restarted"
            if member.worker.entry.is_lapsed:
                return "entry_lapsed"  # its capacity is not known
            if member.worker.is_overcommitted:
                return "worker_shrank"
            if not self._advice.has_ticket(run.task.step, member.worker, now_ms):
                return "ticket_lapsed"
        return ""

    @staticmethod
    def _gang_obstacle(run, now_ms):
        """Return why a gang could not start as a whole, or an empty string."""
        members = run.task.step.members(run.run_id)
        if len(members) < len(run.task.step.tasks):
            return "gang_incomplete"
        if any(member.state is RunState.STOPPING for member in members):
            return "gang_stopped"
        if any(member.worker.is_unresponsive(now_ms) for member in members):
            return "worker_silent"
        return ""

    def on_start_answer(self, run, answer, *, now_ms):
        """Process the answer to a start command."""
        if run.state is RunState.GONE:
            self._on_outdated_answer(run, answer, now_ms)
            return
        if answer.refusal is Refusal.NONE and answer.clock_ms:
            self._confirmed(run, answer, now_ms)
        elif answer.refusal in (Refusal.NONE, Refusal.SILENCE):
            # Without the worker's clock, no report could show that the run is gone.
            self._suspect_start(run, now_ms)
        else:
            self._refused(run, answer.refusal, now_ms)

    def _on_outdated_answer(self, run, answer, now_ms):
        """Process the answer to a start whose worker has restarted since.

        A refused start took effect on neither incarnation.
        """
        is_certain = answer.refusal not in (Refusal.NONE, Refusal.SILENCE)
        if run.successor is not None and is_certain:
            self._lifecycle.release_unstarted(run.successor, now_ms=now_ms)

    def _confirmed(self, run, answer, now_ms):
        run.worker.read_clock(answer.clock_ms, now_ms)
        run.confirmed_clock_ms = answer.clock_ms
        self._lifecycle.delayed_starts.on_arrived(run)
        if run.state is RunState.SENT:
            run.state = RunState.LIVE
            run.task.step.job.has_run = True
            run.percent_changed_ms = now_ms
        self._poller.request_poll(run.worker, now_ms)

    def _suspect_start(self, run, now_ms):
        """Mark an unanswered start as suspect and poll its worker.

        It is stopped only if the worker does not report it.
        """
        if run.state is RunState.SENT:
            self._context.count("retries", "start_unanswered")
            run.suspected_ms = now_ms
            run.worker.suspected_ms = now_ms
            if run.worker.born_epoch_ms:  # its next incarnation may have its id
                run.worker.watched_until_ms = run.began_ms + MAX_COMMAND_DELAY_MS
            self._poller.suspect_hall(run.worker, now_ms)

    def _refused(self, run, refusal, now_ms):
        worker, step = run.worker, run.task.step
        self._context.count("retries", f"start_{refusal}")
        if refusal is Refusal.NO_ROOM:
            worker.has_reported = False
            self._poller.request_poll(worker, now_ms)
        elif refusal is Refusal.NO_TICKET:
            step.tickets.pop(worker.worker_id, None)
        elif refusal is Refusal.UNWELL:
            worker.health.pause(now_ms)
        elif refusal is Refusal.OLD_RUN:
            run.task.avoid(worker.worker_id, now_ms)
        self._context.note(
            "start_refused",
            task=run.task.name,
            run=run.run_id,
            worker=worker.worker_id,
            reason=str(refusal),
        )
        self._lifecycle.release_unstarted(run, now_ms=now_ms)

    def stop_unconfirmed_starts(self, now_ms):
        """Stop the runs whose start was not confirmed in time."""
        for worker in self._context.workers.values():
            for run in list(worker.runs.values()):
                if (
                    run.is_suspect
                    and now_ms - run.suspected_ms > START_CONFIRMATION_TIMEOUT_MS
                ):
                    self._lifecycle.stop(run, UNANSWERED_START_REASON, now_ms=now_ms)


def _unsent_members(run):
    """Return the starts that are sent together: those of a gang, or a single one."""
    if not run.step.gang:
        return [run]
    members = run.task.step.members(run.run_id)
    return [member for member in members if not member.was_sent]
