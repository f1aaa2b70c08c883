"""One entry instance as a state machine: a message in, effects out."""

from functools import singledispatchmethod

from thymefork_core.instant import Instant
from thymefork_core.ledger import AcceptedIndex, HallLedger
from thymefork_core.log import AppendQueue, LogHealth, Stream
from thymefork_core.membership import Members
from thymefork_core.ownership import OwnerLease, SilenceWatch

from . import messages as m
from .checkpointer import Checkpointer
from .configurator import Configurator
from .context import Context
from .effects import Append, Exit, Level
from .heartbeats import Heartbeats
from .log_desk import LogDesk
from .lookups import Router
from .owner import Authority, Executor
from .peer_desk import PeerDispatcher
from .report import Reporter
from .work import Home, Intake, Standing

__all__ = ["Node"]

APPEND_BACKOFF_MS = 200


class Node:
    """Compose the roles of an instance and carry messages between them."""

    def __init__(self, *, name, hall, incarnation, limits, now):
        self.ctx = Context(
            name=name,
            hall=hall,
            incarnation=incarnation,
            limits=limits,
            now=now,
            ledger=HallLedger(),
            accepted=AcceptedIndex(window_ms=limits.work_window_ms),
            members=Members(name=name, hall=hall, lease_ms=limits.lease_ms),
            silence=SilenceWatch(lease_ms=limits.lease_ms, grace_ms=limits.grace_ms),
            lease=OwnerLease(lease_ms=limits.lease_ms),
            health=LogHealth(patience_ms=limits.log_patience_ms),
            queues={
                Stream.HALL: AppendQueue(author=incarnation),
                Stream.ACCEPTED: AppendQueue(author=incarnation),
                Stream.CONFIG: AppendQueue(
                    author=incarnation,
                    most_entries=1,
                    name_record=lambda entries: entries[0].record_id,
                ),
            },
        )
        self.authority = Authority(context=self.ctx)
        self.executor = Executor(context=self.ctx)
        self.home = Home(context=self.ctx, executor=self.executor)
        self.intake = Intake(context=self.ctx, home=self.home)
        self.standing = Standing(context=self.ctx, home=self.home)
        self.router = Router(context=self.ctx)
        self.configurator = Configurator(context=self.ctx)
        self.heartbeats = Heartbeats(
            context=self.ctx,
            router=self.router,
            reservations=self.executor.reservations,
        )
        self.checkpointer = Checkpointer(context=self.ctx)
        self.log_desk = LogDesk(node=self)
        self.peer_desk = PeerDispatcher(node=self)
        self.reporter = Reporter(node=self)
        self.authority.streams_held = self.router.streams_held
        self.executor.workers.open_at = self.router
        self._was_down = True
        self._last_tick_mono_ms = now.mono_ms
        self._leaving_since_mono_ms = now.mono_ms

    def handle(self, message, now: Instant):
        """Take a message at a moment and return the effects in order."""
        ctx = self.ctx
        ctx.now = now
        self._handle(message)
        self.executor.attempts.flush()
        self._flush_queues()
        effects, ctx.effects = ctx.effects, []
        return effects

    def _has_unwritten(self):
        return any(q.in_flight or q.pending for q in self.ctx.queues.values())

    def is_waiting(self):
        """Tell whether anything here waits for records of the log."""
        ctx = self.ctx
        busy = len(self.intake.requests) or len(self.home.queue)
        caught_up = ctx.caught_up.get(Stream.HALL)
        return self._has_unwritten() or busy or ctx.leaving or not caught_up

    @singledispatchmethod
    def _handle(self, message):
        raise TypeError(f"no handler for {type(message).__name__}")

    # Time --------------------------------------------------------------------

    @_handle.register
    def _tick(self, message: m.Tick):
        ctx = self.ctx
        self._notice_pause()
        is_down = ctx.log_is_down
        if is_down:
            self.intake.withdraw()
            self.executor.placements.withdraw_starts()
        if is_down != self._was_down:
            self._was_down = is_down
            text = "log is down" if is_down else "log is back"
            level = Level.WARNING if is_down else Level.INFO
            ctx.note(text, step="log", level=level)
            if not is_down:
                ctx.silence.restart(ctx.now.mono_ms)
        self.heartbeats.tick()
        self.authority.tick()
        self.executor.tick()
        self.router.tick()
        self.home.tick()
        self.home.run_queue()
        self.intake.tick()
        self.standing.tick()
        self.configurator.tick()
        self.checkpointer.tick()
        self._leave_if_empty()

    def _notice_pause(self):
        """Start waits for silent owners anew after this process stood still."""
        ctx = self.ctx
        mono_ms = ctx.now.mono_ms
        if mono_ms - self._last_tick_mono_ms > ctx.limits.lease_ms:
            ctx.note("resumed after a pause", step="tick", level=Level.WARNING)
            ctx.silence.restart(mono_ms)
        self._last_tick_mono_ms = mono_ms

    @_handle.register
    def _stop(self, message: m.StopSignal):
        if not self.ctx.leaving:
            self.ctx.leaving = True
            self._leaving_since_mono_ms = self.ctx.now.mono_ms
            self.heartbeats.hurry()
            self.ctx.note("planned stop begins", step="stop")

    def _leave_if_empty(self):
        ctx = self.ctx
        if not ctx.leaving:
            return
        busy = len(self.router) + len(self.intake.requests) + len(self.configurator)
        if (
            not busy
            and not self._has_unwritten()
            and not ctx.ledger.owned_by(ctx.incarnation)
            and self._peers_know()
        ):
            ctx.emit(Exit())

    def _peers_know(self):
        """Tell whether the hall's peers have heard that this instance leaves.

        A peer's echo comes behind all that it passed on here before it knew. One that
        hears nothing passes nothing on after a lease.
        """
        ctx, since_ms = self.ctx, self._leaving_since_mono_ms
        if ctx.now.mono_ms - since_ms > ctx.limits.lease_ms:
            return True
        peers = ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
        return all(
            ctx.silence.has_echoed(peer.name, since_ms)
            for peer in peers
            if peer.name != ctx.name
        )

    # Log ---------------------------------------------------------------------

    @_handle.register
    def _log_read(self, message: m.LogRead):
        self.log_desk.read(message)

    @_handle.register
    def _log_failed(self, message: m.LogFailed):
        self.ctx.health.failed()

    @_handle.register
    def _log_reset(self, message: m.LogReset):
        """Read a restarted stream from its start on; what is known is kept."""
        ctx = self.ctx
        if message.stream is Stream.HALL:
            ctx.ledger.state.next_offset = 0
            ctx.ledger.state.last_seen.clear()
        elif message.stream is Stream.ACCEPTED:
            ctx.accepted.state.next_offset = 0

    @_handle.register
    def _report_request(self, message: m.ReportRequest):
        self.reporter.answer(message)

    @_handle.register
    def _config_read(self, message: m.ConfigRead):
        ctx = self.ctx
        ctx.health.good(ctx.now.mono_ms)
        for version in message.versions:
            ctx.queues[Stream.CONFIG].acknowledged(version.record_id)
        self.configurator.on_read(message)
        self.log_desk.after_read(Stream.CONFIG, message)

    @_handle.register
    def _checkpoint_read(self, message: m.CheckpointRead):
        self.checkpointer.on_read(message)

    @_handle.register
    def _append_acked(self, message: m.AppendAcked):
        self.ctx.health.good(self.ctx.now.mono_ms)

    @_handle.register
    def _append_refused(self, message: m.AppendRefused):
        self.ctx.health.failed()
        self.ctx.queues[message.stream].refused(
            message.record_id, self.ctx.now.mono_ms, APPEND_BACKOFF_MS
        )

    @_handle.register
    def _append_lost(self, message: m.AppendLost):
        self.ctx.health.failed()
        self.ctx.queues[message.stream].lost_answer(
            message.record_id, self.ctx.now.mono_ms
        )

    def _flush_queues(self):
        ctx = self.ctx
        for stream, queue in ctx.queues.items():
            if ctx.log_is_down:
                continue
            batch = queue.next_batch(ctx.now.mono_ms)
            if batch is not None:
                ctx.emit(Append(stream=stream, batch=batch))

    # Members, workers, peers -------------------------------------------------

    @_handle.register
    def _list_read(self, message: m.ListRead):
        ctx = self.ctx
        ctx.members.update_list(message.instances, message.workers)
        entry = ctx.members.listed.get(ctx.name)
        if entry is not None and entry.state == "leaving":
            self._stop(m.StopSignal())

    @_handle.register
    def _peer_heard(self, message: m.PeerHeard):
        self.peer_desk.take(message.message, message.peer)

    @_handle.register
    def _peer_refused(self, message: m.PeerRefused):
        self.ctx.silence.refused(message.peer, self.ctx.now.mono_ms)

    @_handle.register
    def _report(self, message: m.WorkerReport):
        self.executor.on_report(message)
        self.router.drain_queue()

    @_handle.register
    def _poll_failed(self, message: m.PollFailed):
        self.executor.polls.failed(message.worker)

    @_handle.register
    def _starts_answered(self, message: m.StartsAnswered):
        self.executor.attempts.on_starts_answered(message)

    @_handle.register
    def _starts_failed(self, message: m.StartsFailed):
        self.executor.attempts.on_starts_failed(message)

    @_handle.register
    def _throttled(self, message: m.Throttled):
        self.executor.preemptor.on_throttled(message)

    # Callers -----------------------------------------------------------------

    @_handle.register
    def _submit(self, message: m.SubmitRequest):
        self.intake.submit(message.request_id, message.specs, retry=message.retry)

    @_handle.register
    def _cancel(self, message: m.CancelRequest):
        self.intake.cancel(message.request_id, message.work_ids)

    @_handle.register
    def _lookup(self, message: m.LookupRequest):
        self.router.on_request(message)

    @_handle.register
    def _lookup_ended(self, message: m.LookupEnded):
        self.router.on_ended(message)

    @_handle.register
    def _caller_gone(self, message: m.CallerGone):
        self.intake.caller_gone(message.request_id)
        self.router.on_caller_gone(message.request_id)

    @_handle.register
    def _apply(self, message: m.ApplyRequest):
        self.configurator.apply(message)
