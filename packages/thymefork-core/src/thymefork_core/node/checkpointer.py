"""Checkpoints of the hall's and the accepted state, within the log's retention."""

import copy

from thymefork_core.log import Stream

from .effects import SaveCheckpoint

__all__ = ["Checkpointer"]


class Checkpointer:
    """Save states when due, forget ids past the window, load on start."""

    def __init__(self, *, context):
        self.ctx = context
        self._due_mono_ms = 0
        self._restored = False

    @property
    def is_restored(self):
        """Tell whether checkpoints were looked for."""
        return self._restored

    def on_read(self, message):
        """Start from the newest checkpoints that the log holds."""
        ctx = self.ctx
        newer = message.hall is not None and (
            message.hall.next_offset > ctx.ledger.state.next_offset
        )
        if newer:
            ctx.ledger.restore(message.hall)
        newer = message.accepted is not None and (
            message.accepted.next_offset > ctx.accepted.state.next_offset
        )
        if newer:
            ctx.accepted.restore(message.accepted)
        self._restored = True

    def tick(self):
        """Save the hall's state, and the accepted works, where this name is first."""
        ctx = self.ctx
        if not ctx.is_ready or ctx.log_is_down:
            return
        if ctx.now.mono_ms < self._due_mono_ms:
            return
        every_ms = ctx.limits.checkpoint_every_ms
        first_time = self._due_mono_ms == 0
        self._due_mono_ms = ctx.now.mono_ms + every_ms
        self._forget_old()
        if first_time:
            return
        if self._is_first(ctx.hall):
            self._save(Stream.HALL_CHECKPOINT, ctx.ledger.state)
        if self._is_first(None):
            self._save(Stream.ACCEPTED_CHECKPOINT, ctx.accepted.state)

    def _is_first(self, hall):
        """Tell whether no live instance, of a hall or of all, has an earlier name."""
        live = self.ctx.members.live(self.ctx.now.mono_ms, hall=hall)
        return self.ctx.name <= min((m.name for m in live), default=self.ctx.name)

    def _save(self, stream, state):
        self.ctx.emit(SaveCheckpoint(stream=stream, state=copy.copy(state)))

    def _forget_old(self):
        ctx = self.ctx
        for work_id in ctx.accepted.expired(ctx.now.wall_ms, self._is_live):
            ctx.ledger.forget(work_id)

    def _is_live(self, work_id):
        ctx = self.ctx
        work = ctx.accepted.get(work_id)
        if work is None or work.hall != ctx.hall:
            return False
        tasks = range(work.spec.tasks)
        return not all(ctx.ledger.task(work_id, t).settled for t in tasks)
