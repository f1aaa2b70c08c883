"""Records read from the log, folded and carried to the roles."""

from functools import singledispatchmethod

from thymefork_core.ledger import Claim, Close, End, Handover, Held, Resign, Start, Take
from thymefork_core.log import Stream
from thymefork_core.reasons import Retry

from .effects import Append

__all__ = ["LogDesk"]


class LogDesk:
    """Fold each record and dispatch its verdicts by their entries' types."""

    def __init__(self, *, node):
        self.node = node
        self.ctx = node.ctx

    def read(self, message):
        """Take records of the hall's or the accepted stream."""
        self.ctx.health.good(self.ctx.now.mono_ms)
        fold = self._accept if message.stream is Stream.ACCEPTED else self._fold
        for record in message.records:
            fold(record)
        if message.records:
            self.node.home.run_queue()
        self.after_read(message.stream, message)

    def after_read(self, stream, message):
        """Resolve a lost append, and note when everything has been read once."""
        ctx, node = self.ctx, self.node
        if not message.at_end:
            return
        batch = ctx.queues[stream].not_found(message.began_mono_ms)
        if batch is not None:
            ctx.count(Retry.APPEND_RESENT)
            ctx.emit(Append(stream=stream, batch=batch))
        if not ctx.caught_up.get(stream) and node.checkpointer.is_restored:
            ctx.caught_up[stream] = True
            ctx.silence.restart(ctx.now.mono_ms)
            if all(ctx.caught_up.get(s) for s in (Stream.HALL, Stream.ACCEPTED)):
                node.home.adopt_all()

    def _accept(self, record):
        ctx, node = self.ctx, self.node
        batch = ctx.queues[Stream.ACCEPTED].acknowledged(record.record_id)
        for work in ctx.accepted.apply(record):
            node.intake.on_accepted(work)
            if node.home.is_home(work):
                node.home.enqueue(work)
        if batch is not None:
            for entry in record.entries:
                node.intake.on_changed(entry.spec.work_id)

    def _fold(self, record):
        ctx = self.ctx
        batch = ctx.queues[Stream.HALL].acknowledged(record.record_id)
        verdicts = ctx.ledger.apply(record)
        if record.author == ctx.incarnation and batch is not None:
            self.node.authority.on_own_record(batch.began_mono_ms)
        ctx.silence.heard_in_log(record.author, ctx.now.mono_ms)
        for verdict in verdicts:
            self._on_verdict(verdict.entry, verdict)

    @singledispatchmethod
    def _on_verdict(self, entry, verdict):
        """Renewals change nothing but the author's silence."""

    @_on_verdict.register
    def _on_claim(self, entry: Claim, verdict):
        ctx, node = self.ctx, self.node
        mine = verdict.author == ctx.incarnation
        if not verdict.valid:
            if mine:
                node.authority.claim_failed(entry)
        elif entry.victim == ctx.incarnation:
            node.executor.drop_all()
            node.home.drop_all()
            node.authority.on_claimed()
        else:
            self._on_moved(verdict)
            if mine:
                ctx.note("claimed a silent owner", step="claim", peer=entry.victim)
                node.home.adopt_all()

    @_on_verdict.register(Take)
    @_on_verdict.register(Handover)
    def _on_ownership(self, entry, verdict):
        self._on_moved(verdict)

    def _on_moved(self, verdict):
        for moved in verdict.moved:
            self.node.authority.forget_worker(moved.worker)
            self.node.executor.on_moved(moved, verdict.entry)

    @_on_verdict.register
    def _on_held(self, entry: Held, verdict):
        self.node.executor.workers.refresh_held(entry.worker)

    @_on_verdict.register
    def _on_resign(self, entry: Resign, verdict):
        if not verdict.valid:
            return
        if verdict.author == self.ctx.incarnation:
            self.node.home.drop_all()
        elif entry.to == self.ctx.incarnation:
            self.node.home.adopt_all()

    @_on_verdict.register
    def _on_start(self, entry: Start, verdict):
        self.node.executor.on_start(verdict)
        if verdict.valid:
            self._on_work(entry.work_id)

    @_on_verdict.register
    def _on_end(self, entry: End, verdict):
        if not verdict.valid:
            return
        self.node.executor.on_end(verdict)
        work = self.ctx.accepted.get(entry.work_id)
        if work is not None and self.node.home.is_home(work):
            self.node.home.on_end(verdict)
        self._on_work(entry.work_id)

    @_on_verdict.register
    def _on_close(self, entry: Close, verdict):
        if verdict.valid:
            self.node.executor.on_closed(entry.work_id)
            self._on_work(entry.work_id)

    def _on_work(self, work_id):
        self.node.home.on_changed(work_id)
        self.node.intake.on_changed(work_id)
