"""Jobs: all tasks at once, reserved with a deadline or not at all."""

from attrs import Factory, define

from thymefork_core.hashing import stable_hash
from thymefork_core.peer import Commit, Place, Release
from thymefork_core.reasons import Reason

from ..effects import SendPeer

__all__ = ["Gangs"]

BACK_OFF_MS = 400


@define(kw_only=True)
class _Plan:
    """A job's reservation: which peer was asked for which tasks.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    spec: object
    asked: dict
    until_mono_ms: int
    granted: set = Factory(set)


class Gangs:
    """Reserve room for all tasks of a job at its owners, then commit or release."""

    def __init__(self, *, context, placements):
        self.ctx = context
        self.placements = placements
        self.plans = {}
        self._not_before = {}

    def on_abort(self, spec):
        """Hear of a job whose reservation was given up; set by the placing."""

    def is_planning(self, work_id):
        """Tell whether a reservation for a job is open, or was just given up."""
        if self.ctx.now.mono_ms < self._not_before.get(work_id, 0):
            return True
        return any(plan.spec.work_id == work_id for plan in self.plans.values())

    def plan(self, place_id, spec, items):
        """Reserve here first, the rest at peers; True if a plan is open or done."""
        ctx = self.ctx
        until_ms = ctx.now.wall_ms + ctx.limits.gang_hold_ms
        if self.placements.place(place_id, spec, items, hold=True, until_ms=until_ms):
            return self.placements.commit(place_id)
        split = self._split(spec, items)
        if split is None:
            ctx.count(Reason.GANG_NO_ROOM)
            return False
        own = split.pop(ctx.name, ())
        if own and not self.placements.place(
            place_id, spec, own, hold=True, until_ms=until_ms
        ):
            return False
        self.plans[place_id] = _Plan(
            spec=spec,
            asked={peer: len(part) for peer, part in split.items()},
            until_mono_ms=ctx.now.mono_ms + ctx.limits.gang_hold_ms // 2,
        )
        for peer, part in split.items():
            message = Place(
                place_id=place_id, spec=spec, items=part, hold=True, until_ms=until_ms
            )
            ctx.emit(SendPeer(peer=peer, message=message))
        return True

    def on_reply(self, peer, message):
        """Commit once every peer has granted; release when one has not."""
        plan = self.plans.get(message.place_id)
        if plan is None or peer not in plan.asked:
            return plan is not None
        if len(message.granted) < plan.asked[peer]:
            self._abort(message.place_id)
            return True
        plan.granted.add(peer)
        if plan.granted == set(plan.asked):
            self._commit(message.place_id)
        return True

    def tick(self):
        """Give up reservations whose deadline has passed."""
        for place_id, plan in list(self.plans.items()):
            if self.ctx.now.mono_ms > plan.until_mono_ms:
                self._abort(place_id)

    def drop_all(self):
        """Release every open reservation."""
        for place_id in list(self.plans):
            self._abort(place_id)

    def _commit(self, place_id):
        plan = self.plans.pop(place_id)
        self._not_before.pop(plan.spec.work_id, None)
        self.placements.commit(place_id)
        for peer in plan.asked:
            self.ctx.emit(SendPeer(peer=peer, message=Commit(place_id=place_id)))

    def _abort(self, place_id):
        plan = self.plans.pop(place_id)
        self._back_off(plan.spec.work_id)
        self.on_abort(plan.spec)
        self.placements.release(place_id)
        for peer in plan.asked:
            self.ctx.emit(SendPeer(peer=peer, message=Release(place_id=place_id)))
        self.ctx.count(Reason.GANG_NO_ROOM)

    def _back_off(self, work_id):
        """Wait a time that differs by job and home, so that two do not collide."""
        seed = f"{work_id}|{self.ctx.incarnation}|{self.ctx.now.mono_ms}"
        jitter_ms = stable_hash(seed) % BACK_OFF_MS
        self._not_before[work_id] = self.ctx.now.mono_ms + BACK_OFF_MS // 4 + jitter_ms

    def _split(self, spec, items):
        """Share tasks out over this instance and live peers, by free room hints."""
        ctx = self.ctx
        left = list(items)
        rooms = [(ctx.name, ctx.book.free())]
        live = ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
        live.sort(key=lambda member: (-member.free.cpu_milli, member.name))
        rooms += [(m.name, m.free) for m in live if m.name != ctx.name]
        split = {}
        for name, room in rooms:
            count = min(len(left), spec.resources.copies_in(room))
            if count:
                split[name] = tuple(left[:count])
                del left[:count]
        return split if not left else None
