"""Reports: the state of this instance and the story of a piece of work."""

from thymefork_core.ledger import final_answer

from ..effects import ReplyReport
from .reports import (
    AttemptLine,
    MemberLine,
    StatusReport,
    TaskLine,
    WorkerLine,
    WorkReport,
)

__all__ = ["Reporter"]


class Reporter:
    """Read the roles' state; change nothing."""

    def __init__(self, *, node):
        self.node = node
        self.ctx = node.ctx

    def answer(self, message):
        """Answer a report's reader."""
        report = self.work(message.subject) if message.subject else self.status()
        self.ctx.emit(ReplyReport(request_id=message.request_id, report=report))

    def status(self):
        """Return the state of this instance."""
        node, ctx = self.node, self.ctx
        current = ctx.config.current
        return StatusReport(
            name=ctx.name,
            hall=ctx.hall,
            incarnation=ctx.incarnation,
            ready=ctx.is_ready,
            leaving=ctx.leaving,
            log_down=ctx.log_is_down,
            may_send=ctx.may_send(),
            config_version=ctx.config.version,
            config_author=current.author if current else "",
            queued=len(node.home.queue),
            lookups_waiting=len(node.router.queue),
            requests_open=len(node.intake.requests),
            members=tuple(self._member(entry) for entry in ctx.members.listed.values()),
            workers=tuple(self._worker(view) for view in ctx.book.views.values()),
            owners=dict(ctx.ledger.state.owners),
        )

    def _member(self, entry):
        ctx = self.ctx
        mine = entry.name == ctx.name
        heard = ctx.members.heard.get(entry.name)
        version = heard.config_version if heard else 0
        return MemberLine(
            name=entry.name,
            hall=entry.hall,
            live=mine or ctx.members.is_live(entry.name, ctx.now.mono_ms),
            leaving=ctx.leaving if mine else bool(heard and heard.leaving),
            log_down=ctx.log_is_down if mine else bool(heard and heard.log_down),
            config_version=ctx.config.version if mine else version,
        )

    def _worker(self, view):
        return WorkerLine(
            name=view.name,
            free=view.free,
            free_slots=view.free_slots,
            streams=view.streams,
            held_connections=view.held_connections,
            running=len(view.taken),
            open_for_work=view.open_for_work,
            quarantined=self.ctx.now.wall_ms < view.health.until_ms,
        )

    def work(self, work_id):
        """Return the story of a piece of work."""
        ctx = self.ctx
        work = ctx.accepted.get(work_id)
        if work is None:
            return WorkReport(work_id=work_id, known=False)
        answer = final_answer(work.spec, ctx.ledger, 0)
        queued = work_id in self.node.home.queue
        state = "queued" if queued else "running"
        return WorkReport(
            work_id=work_id,
            known=True,
            hall=work.hall,
            home=ctx.ledger.home_of(work.home),
            state=str(answer.outcome) if answer else state,
            waits_for=self._waits_for(work) if queued else "",
            tasks=tuple(self._task(work_id, t) for t in range(work.spec.tasks)),
        )

    def _waits_for(self, work):
        """Say what would let queued work run."""
        ctx, spec = self.ctx, work.spec
        if ctx.log_is_down:
            return "the platform's log to come back"
        quotas = self.node.home.placing.quotas
        if quotas.left(spec.team) is None:
            return f"a team named {spec.team} in the applied file"
        if not quotas.allow(spec):
            return f"other work of team {spec.team} to end: its quota is in use"
        if not spec.resources.fits(ctx.book.largest_free()):
            return "room for one task on a worker of this instance or a peer"
        return "its turn"

    def _task(self, work_id, index):
        task = self.ctx.ledger.task(work_id, index)
        attempt = None
        if task.open:
            attempt = AttemptLine(
                attempt_id=task.open.attempt_id,
                worker=task.open.worker,
                owner=self.ctx.ledger.state.owners.get(task.open.worker, ""),
            )
        return TaskLine(
            task=index,
            attempts=task.attempts,
            settled=task.settled,
            ending=str(task.ending or ""),
            reason=str(task.reason or ""),
            worker=task.worker,
            open=attempt,
        )
