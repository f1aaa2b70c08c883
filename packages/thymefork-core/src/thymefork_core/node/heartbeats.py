"""Heartbeats: a full mesh in the hall, one rotating link to each other hall."""

from attrs import define, evolve

from thymefork_core.membership import Member
from thymefork_core.peer import Beat, Heartbeat

from .effects import SendPeer

__all__ = ["Heartbeats"]

SENT_KEPT = 64
FENCED_TOLD = 4
FAR_EVERY = 2
BEATS_IF_SAME = 4
BEATS_IF_HINTS = 1
_HINTS = ("free", "largest_free", "free_slots")


@define(kw_only=True)
class _Told:
    """The last whole heartbeat to a peer, and the short ones since."""

    whole: Heartbeat
    beats: int = 0


def _beats_between(before, after):
    """Return how many short heartbeats may follow a whole one."""
    hints = {name: getattr(before, name) for name in _HINTS}
    if evolve(after, **hints) != evolve(before, seq=after.seq, echo=after.echo):
        return 0
    same = all(getattr(after, name) == value for name, value in hints.items())
    return BEATS_IF_SAME if same else BEATS_IF_HINTS


class Heartbeats:
    """Tell peers what this instance has, and take what they tell."""

    def __init__(self, *, context, router, reservations):
        self.ctx = context
        self.reservations = reservations
        self.router = router
        self._due_mono_ms = 0
        self._seq = 0
        self._sent_mono_ms = {}
        self._echo = {}
        self._told = {}
        self._heard_by = {}

    def hurry(self):
        """Tell the peers at the next tick what can't wait."""
        self._due_mono_ms = 0

    def tick(self):
        """Send what is due."""
        ctx = self.ctx
        if ctx.now.mono_ms < self._due_mono_ms:
            return
        self._due_mono_ms = ctx.now.mono_ms + ctx.limits.heartbeat_every_ms
        self._seq += 1
        self._sent_mono_ms[self._seq] = ctx.now.mono_ms
        self._sent_mono_ms.pop(self._seq - SENT_KEPT, None)
        far = self._rotating() if self._seq % FAR_EVERY == 0 else []
        for name in ctx.members.hall_peers() + far:
            ctx.emit(SendPeer(peer=name, message=self._message(name)))

    def _message(self, name):
        """Return a whole heartbeat if it is due or tells something that matters.

        To an instance of the hall it is due until it was heard there. Else one that has
        just started, and to which no link was open yet, would hear short ones alone for
        2.4 s, and take this instance's share of the workers after 2.5 s.
        """
        whole = self._heartbeat(name)
        told = self._told.get(name)
        if told is not None and not self._was_heard(name, told.whole):
            told = None
        if told is not None and told.beats < _beats_between(told.whole, whole):
            told.beats += 1
            return Beat(seq=whole.seq, echo=whole.echo)
        self._told[name] = _Told(whole=whole)
        return whole

    def _was_heard(self, name, whole):
        """Tell whether a peer of the hall has echoed a heartbeat or a later one.

        Peers of other halls are heard by turns, and own nothing here.
        """
        if name not in self.ctx.members.hall_peers():
            return True
        return self._heard_by.get(name, -1) >= whole.seq

    def on_beat(self, name, message):
        """Take a short heartbeat; it says nothing to one that has just started."""
        member = self.ctx.members.heard.get(name)
        if member is not None:
            member.heard_mono_ms = self.ctx.now.mono_ms
            self._hear(name, member.incarnation, message)

    def _hear(self, name, incarnation, message):
        mono_ms = self.ctx.now.mono_ms
        self._echo[name] = message.seq
        self._heard_by[name] = message.echo
        self.ctx.silence.heard_on_link(incarnation, mono_ms)
        sent_ms = self._sent_mono_ms.get(message.echo)
        if sent_ms is not None:
            self.ctx.silence.echoed(name, sent_ms)

    def on_heard(self, message):
        """Take a whole heartbeat of a peer."""
        ctx = self.ctx
        known = ctx.members.heard.get(message.name)
        if known is None or known.incarnation != message.incarnation:
            self._told.pop(message.name, None)
            self._heard_by.pop(message.name, None)
        ctx.members.update_member(
            Member(
                name=message.name,
                hall=message.hall,
                incarnation=message.incarnation,
                heard_mono_ms=ctx.now.mono_ms,
                config_version=message.config_version,
                leaving=message.leaving,
                log_down=message.log_down,
                free=message.free,
                largest_free=message.largest_free,
                free_slots=message.free_slots,
                fenced=message.fenced,
            )
        )
        if message.hall == ctx.hall:
            self.reservations.hear(
                message.name, message.reserve_for, message.reserve_until_ms
            )
        self._hear(message.name, message.incarnation, message)

    def _rotating(self):
        names = []
        for peers in self.ctx.members.other_halls().values():
            peers = sorted(peers)
            names.append(peers[self._seq // FAR_EVERY % len(peers)])
        return names

    def _heartbeat(self, name):
        ctx = self.ctx
        reserved = self.reservations.own
        return Heartbeat(
            name=ctx.name,
            hall=ctx.hall,
            incarnation=ctx.incarnation,
            seq=self._seq,
            echo=self._echo.get(name, 0),
            config_version=ctx.config.version,
            leaving=ctx.leaving,
            log_down=ctx.log_is_down,
            free=ctx.book.free(),
            largest_free=ctx.book.largest_free(),
            free_slots=self.router.free_slots(),
            fenced=tuple(list(ctx.ledger.state.successors)[-FENCED_TOLD:]),
            reserve_for=reserved.work_id if reserved else "",
            reserve_until_ms=reserved.until_ms if reserved else 0,
        )
