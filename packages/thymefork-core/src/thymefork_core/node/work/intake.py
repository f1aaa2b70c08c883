"""Taking work in: checks, acceptance in the log, joining, and final answers."""

from sortedcontainers import SortedSet

from thymefork_core.ledger import Accept, final_answer
from thymefork_core.log import Stream
from thymefork_core.model import Answer, Outcome, WorkKind
from thymefork_core.peer import Join, JoinReply
from thymefork_core.reasons import Reason

from ..effects import Level, ReplyAnswers, SendPeer, Timing
from .requests import Requests

__all__ = ["Intake"]

JOIN_EVERY_MS = 1000
ANSWER_GRACE_MS = 1500


class Intake:
    """Answer each submission once: joined, refused, done or unknown."""

    def __init__(self, *, context, home):
        self.ctx = context
        self.home = home
        self.requests = Requests()
        self._specs = {}
        self._retried = set()
        self._cancel_on_accept = set()
        self._arrived_ms = {}
        self._deadlines = SortedSet()
        self._peer_waiters = {}
        self._join_due_ms = {}

    # Callers -----------------------------------------------------------------

    def submit(self, request_id, specs, *, retry=False):
        """Take a submission; refusals are answered in this turn.

        A refused retry is `unknown`: the first try may have been accepted elsewhere
        a moment ago, or be out of sight while the log is down.
        """
        self.requests.add(request_id, [spec.work_id for spec in specs])
        for spec in specs:
            self._take(spec, retry or self._may_be_retry(spec))

    def _may_be_retry(self, spec):
        """Tell whether work was first sent too long ago to be a first try."""
        age_ms = self.ctx.now.wall_ms - spec.submitted_at_ms
        return age_ms > self.ctx.limits.fresh_ms

    def cancel(self, request_id, work_ids):
        """Close works; one entry a work, whatever is queued or running."""
        ctx = self.ctx
        self.requests.add(request_id, work_ids)
        for work_id in work_ids:
            work = ctx.accepted.get(work_id)
            if work is None:
                self._cancel_unseen(request_id, work_id)
            elif work.hall != ctx.hall:
                self._watch(work.spec)
                self._close_or_ask(work)
            elif self._runs_as_service(work) or not self._answer_if_final(work):
                self._watch(work.spec)
                if ctx.log_is_down:
                    self._give(work.spec, Outcome.UNKNOWN, Reason.LOG_UNAVAILABLE)
                else:
                    self._close_or_ask(work)

    def _close_or_ask(self, work):
        """Close work of this hall, or ask its own hall to."""
        if work.hall == self.ctx.hall:
            self.home.close(work.spec, Reason.CANCELLED)
        else:
            self._ask_hall(work, cancel=True)

    def _runs_as_service(self, work):
        """Tell whether work is a service that runs until it is cancelled."""
        is_service = work.spec.kind is WorkKind.SERVICE
        return is_service and self.ctx.ledger.task(work.spec.work_id, 0).open

    def caller_gone(self, request_id):
        """Forget a request; accepted work goes on."""
        self.requests.drop(request_id)

    def _take(self, spec, may_be_retry):
        ctx = self.ctx
        work = ctx.accepted.get(spec.work_id)
        if work is not None:
            self._join(spec, work)
            return
        refusal = self._refusal(spec)
        if refusal is not None:
            outcome = Outcome.UNKNOWN if may_be_retry else Outcome.NOT_RUN
            self._give(spec, outcome, refusal)
            return
        on_its_way = self._specs.get(spec.work_id) == spec
        self._arrived_ms.setdefault(spec.work_id, ctx.now.wall_ms)
        self._watch(spec)
        if may_be_retry:
            self._retried.add(spec.work_id)
        if not on_its_way:
            ctx.record(Accept(hall=ctx.hall, spec=spec), Stream.ACCEPTED)

    def _refusal(self, spec):
        """Return why work is refused before anything is recorded, or None."""
        ctx = self.ctx
        now_ms, window_ms = ctx.now.wall_ms, ctx.limits.work_window_ms
        if ctx.leaving:
            return Reason.PLANNED_STOP
        if ctx.file is None:
            return Reason.NO_CONFIG
        if not now_ms - window_ms < spec.submitted_at_ms < now_ms + window_ms:
            return Reason.TOO_OLD
        if ctx.file.team(spec.team) is None:
            return Reason.UNKNOWN_TEAM
        if spec.deadline_ms <= now_ms:
            return Reason.DEADLINE
        if not self.home.can_ever_run(spec):
            return Reason.NEVER_FITS
        if ctx.log_is_down or not ctx.caught_up.get(Stream.ACCEPTED):
            return Reason.LOG_UNAVAILABLE
        if len(self.home.queue) >= ctx.limits.queue_limit:
            return Reason.OVERLOADED
        return None

    def _join(self, spec, work):
        ctx = self.ctx
        if work.spec != spec:
            self._give(spec, Outcome.NOT_RUN, Reason.DUPLICATE_SPEC)
        elif work.hall != ctx.hall:
            self._watch(spec)
            self._ask_hall(work)
        elif not self._answer_if_final(work):
            self._watch(spec)

    def _cancel_unseen(self, request_id, work_id):
        """Close work as soon as it is accepted, if it was submitted here."""
        if work_id in self._specs:
            self._cancel_on_accept.add(work_id)
            return
        self.ctx.count(Reason.UNKNOWN_WORK)
        answer = Answer(
            work_id=work_id,
            outcome=Outcome.UNKNOWN,
            reason=Reason.UNKNOWN_WORK,
            come_back_at_ms=self.ctx.come_back_at_ms,
        )
        for request in self.requests.answer_one(request_id, answer):
            self._reply(request)

    # Log ---------------------------------------------------------------------

    def on_accepted(self, work):
        """Follow work that the log accepted first under its id."""
        spec = self._specs.get(work.spec.work_id)
        if work.spec.work_id in self._cancel_on_accept:
            self._cancel_on_accept.discard(work.spec.work_id)
            self._close_or_ask(work)
        if spec is not None and spec != work.spec:
            self._give(spec, Outcome.NOT_RUN, Reason.DUPLICATE_SPEC)
        elif work.hall != self.ctx.hall and self.requests.waits_for(work.spec.work_id):
            self._ask_hall(work)

    def on_changed(self, work_id):
        """Answer whoever waits, if a work has its final answer now."""
        if self.requests.waits_for(work_id) or work_id in self._peer_waiters:
            work = self.ctx.accepted.get(work_id)
            if work is not None:
                self._answer_if_final(work)

    def withdraw(self):
        """Refuse at once what was never sent to a log that is down."""
        queue = self.ctx.queues[Stream.ACCEPTED]
        for entry in queue.withdraw(lambda e: isinstance(e, Accept)):
            retried = entry.spec.work_id in self._retried
            outcome = Outcome.UNKNOWN if retried else Outcome.NOT_RUN
            self._give(entry.spec, outcome, Reason.LOG_UNAVAILABLE)

    # Peers -------------------------------------------------------------------

    def on_join(self, peer, message):
        """Tell a peer of another hall the answer, now or later."""
        work = self.ctx.accepted.get(message.work_id)
        if work is None:
            return
        self._peer_waiters.setdefault(message.work_id, set()).add(peer)
        if message.cancel and not self.ctx.log_is_down:
            self.home.close(work.spec, Reason.CANCELLED)
        self._answer_if_final(work)

    def on_join_reply(self, answer):
        """Pass on the answer that another hall gave."""
        self._finish(answer)

    def _ask_hall(self, work, *, cancel=False):
        ctx = self.ctx
        self._join_due_ms[work.spec.work_id] = ctx.now.mono_ms + JOIN_EVERY_MS
        live = ctx.members.live(ctx.now.mono_ms, hall=work.hall)
        names = [member.name for member in live]
        names = names or ctx.members.other_halls().get(work.hall, [])
        for name in names:
            message = Join(work_id=work.spec.work_id, cancel=cancel)
            ctx.emit(SendPeer(peer=name, message=message))

    # Answers -----------------------------------------------------------------

    def _answer_if_final(self, work):
        answer = final_answer(work.spec, self.ctx.ledger, self.ctx.come_back_at_ms)
        if answer is None:
            return False
        if answer.reason is not None:
            self.ctx.count(answer.reason)
        self._finish(answer)
        return True

    def _give(self, spec, outcome, reason):
        helps = reason not in (
            Reason.DUPLICATE_SPEC,
            Reason.NEVER_FITS,
            Reason.TOO_OLD,
            Reason.UNKNOWN_TEAM,
        )
        back_ms = self.ctx.come_back_at_ms if helps else 0
        self.ctx.count(reason)
        text = f"{outcome}: {reason}"
        self.ctx.note(text, step="intake", subject=spec.work_id, level=Level.DEBUG)
        self._finish(
            Answer(
                work_id=spec.work_id,
                outcome=outcome,
                reason=reason,
                come_back_at_ms=back_ms,
            )
        )

    def _finish(self, answer):
        ctx = self.ctx
        for request in self.requests.answer(answer):
            self._reply(request)
        for peer in self._peer_waiters.pop(answer.work_id, ()):
            ctx.emit(SendPeer(peer=peer, message=JoinReply(answer=answer)))
        self._join_due_ms.pop(answer.work_id, None)
        self._retried.discard(answer.work_id)
        self._cancel_on_accept.discard(answer.work_id)
        spec = self._specs.pop(answer.work_id, None)
        if spec is not None:
            self._deadlines.discard((spec.deadline_ms, spec.work_id))
        arrived_ms = self._arrived_ms.pop(answer.work_id, None)
        if arrived_ms is not None:
            ctx.emit(Timing(name="answer", value_ms=ctx.now.wall_ms - arrived_ms))

    def _reply(self, request):
        answers = tuple(request.answers[work_id] for work_id in request.work_ids)
        self.ctx.emit(ReplyAnswers(request_id=request.request_id, answers=answers))

    # Time --------------------------------------------------------------------

    def _watch(self, spec):
        self._specs[spec.work_id] = spec
        self._deadlines.add((spec.deadline_ms, spec.work_id))

    def tick(self):
        """Answer what has reached its deadline, and ask other halls again."""
        ctx = self.ctx
        while self._deadlines and self._deadlines[0][0] <= ctx.now.wall_ms:
            deadline_ms, work_id = self._deadlines[0]
            if not self._at_deadline(deadline_ms, work_id):
                break
            self._deadlines.discard((deadline_ms, work_id))
        for work_id, due_ms in list(self._join_due_ms.items()):
            work = ctx.accepted.get(work_id)
            if work is not None and due_ms <= ctx.now.mono_ms:
                self._ask_hall(work)

    def _at_deadline(self, deadline_ms, work_id):
        """Answer a work at its deadline; False while its home may still close it."""
        ctx = self.ctx
        work = ctx.accepted.get(work_id)
        spec = self._specs.get(work_id)
        if spec is None:
            return True
        if work is None:
            if ctx.now.wall_ms < deadline_ms + ANSWER_GRACE_MS and not ctx.log_is_down:
                return False
            self._give(spec, Outcome.UNKNOWN, Reason.RECORD_UNRESOLVED)
        elif self._has_run(work):
            self._give(spec, Outcome.UNKNOWN, Reason.RUNNING_AT_DEADLINE)
        elif ctx.log_is_down:
            self._give(spec, Outcome.UNKNOWN, Reason.LOG_UNAVAILABLE)
        elif ctx.now.wall_ms < deadline_ms + ANSWER_GRACE_MS:
            return False
        elif work.hall != ctx.hall:
            self._give(spec, Outcome.UNKNOWN, Reason.HALL_UNREACHABLE)
        else:
            self._give(spec, Outcome.UNKNOWN, Reason.RECORD_UNRESOLVED)
        return True

    def _has_run(self, work):
        return work.hall == self.ctx.hall and self.ctx.ledger.has_run(work.spec)
