"""Room on owned workers: reserve, commit to start records, or release."""

from attrs import define, evolve

from thymefork_core.batch import TaskKey
from thymefork_core.ledger import Start
from thymefork_core.log import Stream

__all__ = ["Placements"]


@define(kw_only=True)
class _Hold:
    """Room reserved for a request of a home.

    Units: `until_ms` is milliseconds since the epoch.
    """

    spec: object
    items: tuple
    places: dict
    until_ms: int


class Placements:
    """Give out room on owned workers; every start is recorded before it is sent."""

    def __init__(self, *, context, usage, preemptor, reservations):
        self.ctx = context
        self.holds = {}
        self._starting = {}
        self._usage = usage
        self._preemptor = preemptor
        self._reservations = reservations

    def place(self, place_id, spec, items, *, hold, until_ms):
        """Reserve room for tasks; start them at once unless held."""
        need = self._usage.adjust(spec)
        places = {}
        for item in items:
            worker = self._reserve(spec, item, need)
            if worker is not None:
                places[item.task] = worker
            elif hold:
                break
        if hold and len(places) < len(items):
            self._give_back(spec.work_id, places)
            return []
        kept = tuple(item for item in items if item.task in places)
        self.holds[place_id] = _Hold(
            spec=evolve(spec, resources=need),
            items=kept,
            places=places,
            until_ms=until_ms,
        )
        if not hold:
            self.commit(place_id)
        return list(places)

    def _reserve(self, spec, item, need):
        ctx = self.ctx
        if not ctx.may_send() or ctx.log_is_down or ctx.leaving:
            return None
        key = TaskKey(spec.work_id, item.task)
        if ctx.book.holds(key) or not self._reservations.allow(spec):
            return None
        policy = ctx.file.policy(spec.kind)
        view = ctx.choose(ctx.book, need, policy, ctx.now.wall_ms)
        if view is None:
            if spec.urgent:
                self._preemptor.make_room(need)
            return None
        ctx.book.take(view.name, key, need)
        view.health.started()
        return view.name

    def commit(self, place_id):
        """Write the start records of what was reserved."""
        hold = self.holds.pop(place_id, None)
        if hold is None:
            return False
        spec = hold.spec
        for item in hold.items:
            self._starting[item.work_id, item.task, item.attempt] = spec
            self.ctx.record(
                Start(
                    work_id=spec.work_id,
                    task=item.task,
                    attempt=item.attempt,
                    worker=hold.places[item.task],
                    resources=spec.resources,
                    team=spec.team,
                    at_most_once=spec.at_most_once,
                )
            )
        return True

    def take_starting(self, start):
        """Return the spec of a start that was committed here, once."""
        key = (start.work_id, start.task, start.attempt)
        return self._starting.pop(key, None)

    def release(self, place_id):
        """Give reserved room back."""
        hold = self.holds.pop(place_id, None)
        if hold is not None:
            self._give_back(hold.spec.work_id, hold.places)

    def release_on(self, worker):
        """Release what was reserved with a worker that is owned no more."""
        for place_id, hold in list(self.holds.items()):
            if worker in hold.places.values():
                self.release(place_id)

    def release_expired(self):
        """Release what was not committed by its deadline."""
        for place_id, hold in list(self.holds.items()):
            if self.ctx.now.wall_ms > hold.until_ms:
                self.release(place_id)

    def withdraw_starts(self):
        """Take back starts that can't be recorded while the log is down."""
        queue = self.ctx.queues[Stream.HALL]
        for entry in queue.withdraw(lambda e: isinstance(e, Start)):
            self.take_starting(entry)
            self.ctx.book.give_back(entry.worker, TaskKey(entry.work_id, entry.task))

    def _give_back(self, work_id, places):
        for task, worker in places.items():
            self.ctx.book.give_back(worker, TaskKey(work_id, task))
