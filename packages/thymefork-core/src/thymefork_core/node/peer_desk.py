"""Messages of other instances, carried to the roles that they are for."""

from functools import singledispatchmethod

from thymefork_core import peer as p

from .effects import SendPeer

__all__ = ["PeerDispatcher"]


class PeerDispatcher:
    """Dispatch peers' messages by their type."""

    def __init__(self, *, node):
        self.node = node

    def take(self, message, peer):
        """Carry a message to its role."""
        self._take(message, peer)

    @singledispatchmethod
    def _take(self, message, peer):
        raise TypeError(f"no role for {type(message).__name__}")

    @_take.register
    def _heartbeat(self, message: p.Heartbeat, peer):
        node = self.node
        node.heartbeats.on_heard(message)
        node.configurator.on_heartbeat(message.name, message.config_version)
        if node.ctx.incarnation in message.fenced:
            node.ctx.lease.deadline_mono_ms = 0

    @_take.register
    def _beat(self, message: p.Beat, peer):
        self.node.heartbeats.on_beat(peer, message)

    @_take.register
    def _place(self, message: p.Place, peer):
        node = self.node
        granted = node.executor.placements.place(
            message.place_id,
            message.spec,
            message.items,
            hold=message.hold,
            until_ms=message.until_ms,
        )
        reply = p.PlaceReply(place_id=message.place_id, granted=tuple(granted))
        node.ctx.emit(SendPeer(peer=peer, message=reply))

    @_take.register
    def _place_reply(self, message: p.PlaceReply, peer):
        placing = self.node.home.placing
        if not placing.gangs.on_reply(peer, message):
            placing.on_place_reply(message)

    @_take.register
    def _commit(self, message: p.Commit, peer):
        self.node.executor.placements.commit(message.place_id)

    @_take.register
    def _release(self, message: p.Release, peer):
        self.node.executor.placements.release(message.place_id)

    @_take.register
    def _join(self, message: p.Join, peer):
        self.node.intake.on_join(peer, message)

    @_take.register
    def _join_reply(self, message: p.JoinReply, peer):
        self.node.intake.on_join_reply(message.answer)

    @_take.register
    def _hop(self, message: p.HopLookup, peer):
        self.node.router.on_hop(peer, message)

    @_take.register
    def _hop_reply(self, message: p.HopReply, peer):
        self.node.router.on_hop_reply(message)

    @_take.register
    def _config_pull(self, message: p.ConfigPull, peer):
        ctx = self.node.ctx
        if ctx.config.version > message.above_version:
            push = p.ConfigPush(current=ctx.config.current)
            ctx.emit(SendPeer(peer=peer, message=push))

    @_take.register
    def _config_push(self, message: p.ConfigPush, peer):
        self.node.configurator.on_push(message.current)
