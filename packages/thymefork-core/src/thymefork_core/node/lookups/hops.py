"""Passing lookups and streams on to a peer, once each."""

from attrs import define

from thymefork_core.peer import HopLookup

from ..effects import SendPeer

__all__ = ["PEER_MARK", "Hop", "Hops"]

PEER_MARK = "@"
US_A_MS = 1000


@define(kw_only=True)
class Hop:
    """Hold a lookup that was passed on."""

    request: object
    peer: str


class Hops:
    """Choose a peer by the free slots that it told of, less what is on its way."""

    def __init__(self, *, context):
        self.ctx = context
        self._open = {}
        self._open_to = {}
        self._told_full = {}

    def __len__(self):
        return len(self._open)

    def pass_on(self, request):
        """Send a lookup to the live peer with most free slots; False without one."""
        peer = self._roomiest(request)
        if peer is None:
            return False
        self._open_to[peer.name] = self._open_to.get(peer.name, 0) + 1
        self._open[request.request_id] = Hop(request=request, peer=peer.name)
        message = HopLookup(
            hop_id=request.request_id,
            service_name=request.service,
            target=request.target,
            body=request.body,
            deadline_ms=request.deadline_ms,
        )
        self.ctx.emit(SendPeer(peer=peer.name, message=message))
        return True

    def front_door_for(self, service):
        """Return the mark of a hall peer that a stream may go through, or None."""
        ctx = self.ctx
        peers = [
            member
            for member in ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
            if member.free_slots.get(service, 0) > 0
        ]
        if not peers:
            return None
        peer = max(peers, key=lambda m: (m.free_slots[service], m.name))
        return f"{PEER_MARK}{peer.name}"

    def end(self, hop_id):
        """Return a hop that has ended, or None."""
        hop = self._open.pop(hop_id, None)
        if hop is not None:
            self._open_to[hop.peer] -= 1
        return hop

    def was_full(self, peer):
        """Ask a peer without a slot again only once it was heard anew."""
        self._told_full[peer] = self.ctx.now.mono_ms

    def end_expired(self):
        """End and return the hops whose deadline has passed."""
        now_ms = self.ctx.now.wall_ms
        expired = [
            hop_id
            for hop_id, hop in self._open.items()
            if hop.request.deadline_ms <= now_ms
        ]
        return [self.end(hop_id) for hop_id in expired]

    def _roomiest(self, request):
        """Return the peer with most room, of other halls only if time allows."""
        ctx = self.ctx
        best, best_key = None, None
        hall = None if self._may_go_far(request) else ctx.hall
        for member in ctx.members.live(ctx.now.mono_ms, hall=hall):
            free = self._free_at(member, request.service)
            key = (member.hall == ctx.hall, free, member.name)
            if free > 0 and (best_key is None or key > best_key):
                best, best_key = member, key
        return best

    def _may_go_far(self, request):
        """Tell whether the way to another hall and back fits before the deadline."""
        way_ms = 2 * self.ctx.file.between_halls_us / US_A_MS
        return self.ctx.now.wall_ms + way_ms < request.deadline_ms

    def _free_at(self, member, service):
        if member.heard_mono_ms <= self._told_full.get(member.name, -1):
            return 0
        on_the_way = self._open_to.get(member.name, 0)
        return member.free_slots.get(service, 0) - on_the_way
