"""Finding room for queued work: here first, then at a peer of the hall."""

from attrs import define

from thymefork_core.batch import TaskKey
from thymefork_core.model import WorkKind
from thymefork_core.peer import Place, PlaceItem
from thymefork_core.reasons import Retry

from ..effects import SendPeer
from .quotas import Quotas

__all__ = ["Placing"]

TRIES_A_TURN = 128


@define(kw_only=True)
class _Asked:
    """A request for room that went to a peer.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    spec: object
    items: tuple
    until_mono_ms: int


@define(kw_only=True)
class _Placed:
    """A task whose start record is on its way.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    spec: object
    until_mono_ms: int


class Placing:
    """Try queued work in order; a second start of a task would be void."""

    def __init__(self, *, context, placements, gangs, reservations):
        self.ctx = context
        self.quotas = Quotas(context=context)
        self.gangs = gangs
        self.reservations = reservations
        self._placements = placements
        self._placed = {}
        self._asked = {}
        self._given_up = []
        self._count = 0
        gangs.on_abort = lambda spec: self._given_up.append(spec)

    def drop_all(self):
        """Forget everything; another instance is home now."""
        self._placed.clear()
        self.quotas.clear()
        self._asked.clear()
        self.gangs.drop_all()

    def settled(self, key):
        """Stop waiting for a task's start record."""
        placed = self._placed.pop(key, None)
        if placed is not None:
            self.quotas.subtract(placed.spec.team, placed.spec.resources)

    def tick(self):
        """Forget requests for room that were not answered in time."""
        for place_id, asked in list(self._asked.items()):
            if self.ctx.now.mono_ms > asked.until_mono_ms:
                del self._asked[place_id]
        self.gangs.tick()

    def run(self, queue, startable, waited_ms):
        """Try work in the queue's order while there is room.

        Work leaves the queue while all its start records are on their way.
        """
        for spec in queue.in_order(self.quotas.share, TRIES_A_TURN):
            if not self.quotas.allow(spec):
                continue
            items = self._unplaced(spec, startable(spec))
            if spec.kind is WorkKind.JOB:
                placed = self._try_job(spec, items, waited_ms(spec))
            else:
                placed = self._try_tasks(spec, items)
            if placed == len(items):
                queue.remove(spec.work_id)

    def requeue(self, queue, startable):
        """Queue again given-up jobs, and what was placed but has not started."""
        mono_ms = self.ctx.now.mono_ms
        given_up, self._given_up = self._given_up, []
        for spec in given_up:
            for index in range(spec.tasks):
                self.settled(TaskKey(spec.work_id, index))
            if next(startable(spec), None) is not None:
                queue.add(spec, spec.submitted_at_ms)
        while self._placed:
            key, placed = next(iter(self._placed.items()))
            if mono_ms <= placed.until_mono_ms:
                return
            self.settled(key)
            if next(startable(placed.spec), None) is not None:
                queue.add(placed.spec, placed.spec.submitted_at_ms)

    def _unplaced(self, spec, startable):
        """Return the tasks that wait for no start record."""
        return tuple(
            PlaceItem(work_id=spec.work_id, task=index, attempt=task.attempts + 1)
            for index, task in startable
            if TaskKey(spec.work_id, index) not in self._placed
        )

    # Tasks -------------------------------------------------------------------

    def _try_tasks(self, spec, items):
        """Place tasks one by one; return how many were placed here."""
        if not items:
            return 0
        items = items[: spec.resources.copies_in(self.quotas.left(spec.team))]
        until_ms = self.ctx.now.wall_ms + self.ctx.limits.place_patience_ms
        granted = self._placements.place(
            self._next_id(), spec, items, hold=False, until_ms=until_ms
        )
        self._mark_placed(spec, granted)
        rest = tuple(item for item in items if item.task not in granted)
        if rest:
            self._ask_peer(spec, rest)
        return len(granted)

    def _ask_peer(self, spec, items):
        ctx = self.ctx
        if any(a.spec.work_id == spec.work_id for a in self._asked.values()):
            return
        peer = self._roomiest_peer(spec)
        if peer is None:
            return
        place_id = self._next_id()
        patience_ms = ctx.limits.place_patience_ms
        self._asked[place_id] = _Asked(
            spec=spec, items=items, until_mono_ms=ctx.now.mono_ms + patience_ms
        )
        message = Place(
            place_id=place_id,
            spec=spec,
            items=items,
            hold=False,
            until_ms=ctx.now.wall_ms + patience_ms,
        )
        ctx.emit(SendPeer(peer=peer.name, message=message))

    def _roomiest_peer(self, spec):
        """Return the peer with most room; for urgent work any, which may preempt."""
        ctx = self.ctx
        live = ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
        fitting = [p for p in live if spec.resources.fits(p.largest_free)]
        if spec.urgent and not fitting:
            fitting = live
        by_room = lambda peer: (peer.free.cpu_milli, peer.name)
        return max(fitting, key=by_room, default=None)

    def on_place_reply(self, message):
        """Note what a peer granted."""
        asked = self._asked.pop(message.place_id, None)
        if asked is None:
            return
        self._mark_placed(asked.spec, message.granted)
        if len(message.granted) < len(asked.items):
            self.ctx.count(Retry.PLACE_REFUSED)

    # Jobs --------------------------------------------------------------------

    def _try_job(self, spec, items, waited_ms):
        """Place all tasks at once; return how many are on their way."""
        if not items or self.gangs.is_planning(spec.work_id):
            return 0
        if self.gangs.plan(self._next_id(), spec, items):
            self._mark_placed(spec, [item.task for item in items])
            return len(items)
        if waited_ms > self.ctx.limits.starvation_ms:
            self.reservations.announce(spec.work_id)
        return 0

    # Bookkeeping -------------------------------------------------------------

    def _mark_placed(self, spec, indexes):
        """Wait a while for start records, and count them against the quota."""
        until_ms = self.ctx.now.mono_ms + self.ctx.limits.place_patience_ms
        for index in indexes:
            key = TaskKey(spec.work_id, index)
            self.settled(key)
            self._placed[key] = _Placed(spec=spec, until_mono_ms=until_ms)
            self.quotas.add(spec.team, spec.resources)

    def _next_id(self):
        self._count += 1
        return f"{self.ctx.incarnation}:{self._count}"
