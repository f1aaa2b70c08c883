"""The home of accepted work: queue, quotas, placement, retries and closing."""

from attrs import define
from sortedcontainers import SortedSet

from thymefork_core.batch import FairQueue, TaskKey
from thymefork_core.ledger import Close, Ending
from thymefork_core.log import Stream
from thymefork_core.model import Resources, WorkKind
from thymefork_core.peer import Place, PlaceItem
from thymefork_core.reasons import Reason, Retry

from .effects import SendPeer, Timing

__all__ = ["Home"]

TRIES_A_TURN = 64


@define(kw_only=True)
class _Asked:
    """A request for room that went to a peer.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    spec: object
    items: tuple
    peer: str
    until_mono_ms: int


class Home:
    """Keep accepted work until every task is settled."""

    def __init__(self, *, context, executor, gangs):
        self.ctx = context
        self.executor = executor
        self.gangs = gangs
        self.queue = FairQueue()
        self._placed_until = {}
        self._asked = {}
        self._deadlines = SortedSet()
        self._queued_at_ms = {}
        self._count = 0
        self._usage = None

    # Membership of works ---------------------------------------------------

    def is_home(self, work):
        """Tell whether this instance looks after accepted work."""
        ctx = self.ctx
        home = ctx.ledger.home_of(work.home)
        return work.hall == ctx.hall and home == ctx.incarnation

    def adopt_all(self):
        """Queue all unsettled work that this instance is home of."""
        for work in self.ctx.accepted.state.works.values():
            if self.is_home(work):
                self.enqueue(work)

    def enqueue(self, work):
        """Queue work with tasks that are neither open nor settled."""
        spec = work.spec
        if self._startable(spec):
            self.queue.add(spec)
            self._queued_at_ms.setdefault(spec.work_id, self.ctx.now.wall_ms)
            self._deadlines.add((spec.deadline_ms, spec.work_id))

    def drop_all(self):
        """Forget the queue; another instance is home now."""
        self.queue = FairQueue()
        self._placed_until.clear()
        self._asked.clear()
        self._deadlines.clear()
        self._queued_at_ms.clear()
        self.gangs.drop_all()

    # Checks ----------------------------------------------------------------

    def can_ever_run(self, spec):
        """Tell whether the declared workers and the quota could hold the work."""
        file = self.ctx.file
        in_hall = [w for w in file.workers if w.hall == self.ctx.hall]
        if not any(spec.resources.fits(worker.resources) for worker in in_hall):
            return False
        need = _times(spec.resources, spec.tasks if spec.kind is WorkKind.JOB else 1)
        if not need.fits(file.team(spec.team).quota):
            return False
        room = sum(_copies(spec.resources, w.resources) for w in in_hall)
        return spec.kind is not WorkKind.JOB or room >= spec.tasks

    # Log -------------------------------------------------------------------

    def on_changed(self, work_id):
        """Follow a start, an end or a closing of a work."""
        ctx = self.ctx
        work = ctx.accepted.get(work_id)
        if work is None or not self.is_home(work):
            return
        spec = work.spec
        for index in range(spec.tasks):
            task = ctx.ledger.task(work_id, index)
            if task.open or task.settled:
                self._placed_until.pop(TaskKey(work_id, index), None)
        if self._startable(spec):
            if self._attempts_used_up(spec):
                self.close(spec, Reason.FAILED_ATTEMPTS)
            else:
                self.enqueue(work)
        else:
            self._leave_queue(spec)

    def on_end(self, verdict):
        """Count a retry of an attempt that ended without an outcome."""
        ending = verdict.entry.ending
        task = self.ctx.ledger.task(verdict.entry.work_id, verdict.entry.task)
        if verdict.valid and not task.settled:
            failed = ending is Ending.FAILED
            retry = Retry.ATTEMPT_FAILED if failed else Retry.ATTEMPT_LOST
            self.ctx.count(retry)

    def close(self, spec, reason):
        """Forbid further starts, once."""
        queue = self.ctx.queues[Stream.HALL]
        if spec.work_id in self.ctx.ledger.state.closed:
            return
        if spec.work_id not in self._closing(queue):
            self.ctx.record(
                Close(work_id=spec.work_id, tasks=spec.tasks, reason=reason)
            )
        self._leave_queue(spec)

    def _closing(self, queue):
        sent = queue.in_flight.entries if queue.in_flight else ()
        return {e.work_id for e in sent if isinstance(e, Close)}

    def _leave_queue(self, spec):
        self.queue.remove(spec.work_id)
        self._deadlines.discard((spec.deadline_ms, spec.work_id))
        queued_ms = self._queued_at_ms.pop(spec.work_id, None)
        if queued_ms is not None:
            waited_ms = self.ctx.now.wall_ms - queued_ms
            self.ctx.emit(Timing(name="waiting", value_ms=waited_ms))

    def _startable(self, spec):
        if spec.work_id in self.ctx.ledger.state.closed:
            return False
        return any(True for _ in self._startable_tasks(spec))

    def _startable_tasks(self, spec):
        for index in range(spec.tasks):
            task = self.ctx.ledger.task(spec.work_id, index)
            if not task.open and not task.settled:
                yield index, task

    def _attempts_used_up(self, spec):
        if spec.kind is WorkKind.SERVICE or self.ctx.file is None:
            return False
        most = self.ctx.file.policy(spec.kind).max_attempts
        return any(task.attempts >= most for _, task in self._startable_tasks(spec))

    # Time ------------------------------------------------------------------

    def tick(self):
        """Close what has reached its deadline unstarted; forget lost requests."""
        ctx = self.ctx
        for place_id, asked in list(self._asked.items()):
            if ctx.now.mono_ms > asked.until_mono_ms:
                del self._asked[place_id]
        self.gangs.tick()
        if ctx.log_is_down:
            return
        while self._deadlines and self._deadlines[0][0] <= ctx.now.wall_ms:
            _, work_id = self._deadlines.pop(0)
            work = ctx.accepted.get(work_id)
            if work is not None and not self._has_run(work.spec):
                self.close(work.spec, Reason.DEADLINE)

    def _has_run(self, spec):
        ledger = self.ctx.ledger
        return any(ledger.task(spec.work_id, t).ran for t in range(spec.tasks))

    def run_queue(self):
        """Try queued work in order while there is room."""
        ctx = self.ctx
        if ctx.log_is_down or ctx.file is None or not len(self.queue):
            return
        self._usage = self._team_usage()
        for spec in self.queue.in_order(self._share, TRIES_A_TURN):
            if not self._within_quota(spec):
                continue
            if spec.kind is WorkKind.JOB:
                self._try_job(spec)
            else:
                self._try_tasks(spec)

    def _try_tasks(self, spec):
        held = self._usage.get(spec.team, Resources())
        quota = self.ctx.file.team(spec.team).quota
        items = self._unplaced(spec)[: _copies(spec.resources, quota - held)]
        if not items:
            return
        until_ms = self.ctx.now.wall_ms + self.ctx.limits.place_patience_ms
        granted = self.executor.place(
            self._next_id(), spec, items, hold=False, until_ms=until_ms
        )
        self._mark_placed(spec, granted)
        rest = tuple(item for item in items if item.task not in granted)
        if rest:
            self._ask_peer(spec, rest)

    def _try_job(self, spec):
        items = self._unplaced(spec)
        if len(items) < spec.tasks and not self._has_run(spec):
            return
        if not items or self.gangs.is_planning(spec.work_id):
            return
        if self.gangs.plan(self._next_id(), spec, items):
            self._mark_placed(spec, [item.task for item in items])

    def _ask_peer(self, spec, items):
        ctx = self.ctx
        if any(a.spec.work_id == spec.work_id for a in self._asked.values()):
            return
        peers = [
            member
            for member in ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
            if spec.resources.fits(member.largest_free)
        ]
        if not peers:
            return
        peer = max(peers, key=lambda m: (m.free.cpu_milli, m.name))
        place_id = self._next_id()
        patience_ms = ctx.limits.place_patience_ms
        self._asked[place_id] = _Asked(
            spec=spec,
            items=items,
            peer=peer.name,
            until_mono_ms=ctx.now.mono_ms + patience_ms,
        )
        message = Place(
            place_id=place_id,
            spec=spec,
            items=items,
            hold=False,
            until_ms=ctx.now.wall_ms + patience_ms,
        )
        ctx.emit(SendPeer(peer=peer.name, message=message))

    def on_place_reply(self, message):
        """Note what a peer granted."""
        asked = self._asked.pop(message.place_id, None)
        if asked is None:
            return
        self._mark_placed(asked.spec, message.granted)
        if len(message.granted) < len(asked.items):
            self.ctx.count(Retry.PLACE_REFUSED)

    # Quotas ----------------------------------------------------------------

    def _team_usage(self):
        usage = {}
        for attempt in self.ctx.ledger.open_attempts():
            held = usage.get(attempt.team, Resources())
            usage[attempt.team] = held + attempt.resources
        return usage

    def usage_of(self, team_name):
        """Return what a team has running in this hall."""
        return self._team_usage().get(team_name, Resources())

    def _share(self, team_name):
        team = self.ctx.file.team(team_name)
        if team is None:
            return 1.0
        return self._usage.get(team_name, Resources()).share_of(team.quota)

    def _within_quota(self, spec):
        team = self.ctx.file.team(spec.team)
        if team is None:
            return False
        held = self._usage.get(spec.team, Resources())
        need = _times(spec.resources, spec.tasks if spec.kind is WorkKind.JOB else 1)
        return need.fits(team.quota - held)

    # Bookkeeping -------------------------------------------------------------

    def _unplaced(self, spec):
        """Return the tasks that wait for no start record."""
        mono_ms = self.ctx.now.mono_ms
        items = []
        for index, task in self._startable_tasks(spec):
            until_ms = self._placed_until.get(TaskKey(spec.work_id, index), 0)
            if mono_ms >= until_ms:
                items.append(
                    PlaceItem(
                        work_id=spec.work_id, task=index, attempt=task.attempts + 1
                    )
                )
        return tuple(items)

    def _mark_placed(self, spec, indexes):
        """Wait for start records, for a while; a second start would be void."""
        until_ms = self.ctx.now.mono_ms + self.ctx.limits.place_patience_ms
        held = self._usage.get(spec.team, Resources()) if self._usage else Resources()
        for index in indexes:
            self._placed_until[TaskKey(spec.work_id, index)] = until_ms
            held = held + spec.resources
        if self._usage is not None:
            self._usage[spec.team] = held

    def _next_id(self):
        self._count += 1
        return f"{self.ctx.incarnation}:{self._count}"


def _times(resources, count):
    return Resources(
        cpu_milli=resources.cpu_milli * count,
        memory_mb=resources.memory_mb * count,
        accelerators=resources.accelerators * count,
    )


def _copies(need, room):
    """Return how many times a need fits into a room."""
    counts = [
        have // want
        for want, have in (
            (need.cpu_milli, room.cpu_milli),
            (need.memory_mb, room.memory_mb),
            (need.accelerators, room.accelerators),
        )
        if want
    ]
    return min(counts, default=512)
