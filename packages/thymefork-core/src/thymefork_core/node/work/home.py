"""The home of accepted work: its queue, its retries and its closing."""

from sortedcontainers import SortedSet

from thymefork_core.batch import FairQueue, TaskKey
from thymefork_core.ledger import Close, Ending
from thymefork_core.model import WorkKind
from thymefork_core.reasons import Reason, Retry

from ..effects import Timing
from .gangs import Gangs
from .placing import Placing
from .quotas import whole_need

__all__ = ["Home"]

_RETRIES = {
    Ending.FAILED: Retry.ATTEMPT_FAILED,
    Ending.LOST: Retry.ATTEMPT_LOST,
    Ending.NOT_SENT: Retry.START_NOT_SENT,
}


class Home:
    """Keep accepted work until every task is settled."""

    def __init__(self, *, context, executor):
        self.ctx = context
        self.queue = FairQueue()
        self._reservations = executor.reservations
        self.placing = Placing(
            context=context,
            placements=executor.placements,
            gangs=Gangs(context=context, placements=executor.placements),
            reservations=executor.reservations,
        )
        self._deadlines = SortedSet()
        self._queued_at_ms = {}
        self._closing = set()

    # Works -------------------------------------------------------------------

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
        if self._is_startable(spec):
            self.queue.add(spec, work.spec.submitted_at_ms)
            self._queued_at_ms.setdefault(spec.work_id, self.ctx.now.wall_ms)
            self._deadlines.add((spec.deadline_ms, spec.work_id))

    def drop_all(self):
        """Forget the queue; another instance is home now."""
        self.queue = FairQueue()
        self._closing.clear()
        self._deadlines.clear()
        self._queued_at_ms.clear()
        self.placing.drop_all()

    def can_ever_run(self, spec):
        """Tell whether the declared workers and the quota could hold the work."""
        file = self.ctx.file
        in_hall = [w.resources for w in file.workers if w.hall == self.ctx.hall]
        if not whole_need(spec).fits(file.team(spec.team).quota):
            return False
        room = sum(spec.resources.copies_in(worker) for worker in in_hall)
        return room >= (spec.tasks if spec.kind is WorkKind.JOB else 1)

    # Log ---------------------------------------------------------------------

    def on_changed(self, work_id):
        """Follow a start, an end or a closing of a work."""
        if work_id in self.ctx.ledger.state.closed:
            self._closing.discard(work_id)
        work = self.ctx.accepted.get(work_id)
        if work is None or not self.is_home(work):
            return
        spec = work.spec
        for index in range(spec.tasks):
            task = self.ctx.ledger.task(work_id, index)
            if task.open or task.settled:
                self.placing.settled(TaskKey(work_id, index))
        if not self._is_startable(spec):
            self._leave_queue(spec)
        elif self._failed_too_often(spec):
            self.close(spec, Reason.FAILED_ATTEMPTS)
        else:
            self.enqueue(work)

    def on_end(self, verdict):
        """Count a retry of an attempt that ended without an outcome."""
        entry = verdict.entry
        task = self.ctx.ledger.task(entry.work_id, entry.task)
        if not task.settled and entry.ending in _RETRIES:
            self.ctx.count(_RETRIES[entry.ending])

    def close(self, spec, reason):
        """Forbid further starts, once."""
        closed = spec.work_id in self.ctx.ledger.state.closed
        if not closed and spec.work_id not in self._closing:
            self._closing.add(spec.work_id)
            self.ctx.record(
                Close(work_id=spec.work_id, tasks=spec.tasks, reason=reason)
            )
        self._leave_queue(spec)

    def _leave_queue(self, spec):
        self.queue.remove(spec.work_id)
        self._reservations.withdraw(spec.work_id)
        self._deadlines.discard((spec.deadline_ms, spec.work_id))
        queued_ms = self._queued_at_ms.pop(spec.work_id, None)
        if queued_ms is not None:
            waited_ms = self.ctx.now.wall_ms - queued_ms
            self.ctx.emit(Timing(name="waiting", value_ms=waited_ms))

    def _is_startable(self, spec):
        if spec.work_id in self.ctx.ledger.state.closed:
            return False
        return next(self._startable(spec), None) is not None

    def _startable(self, spec):
        """Yield the tasks that are neither open nor settled."""
        for index in range(spec.tasks):
            task = self.ctx.ledger.task(spec.work_id, index)
            if not task.open and not task.settled:
                yield index, task

    def _failed_too_often(self, spec):
        if spec.kind is WorkKind.SERVICE or self.ctx.file is None:
            return False
        most = self.ctx.file.policy(spec.kind).max_attempts
        return any(task.failures >= most for _, task in self._startable(spec))

    # Time --------------------------------------------------------------------

    def tick(self):
        """Close what has reached its deadline unstarted."""
        ctx = self.ctx
        self.placing.tick()
        if ctx.log_is_down:
            return
        while self._deadlines and self._deadlines[0][0] <= ctx.now.wall_ms:
            _, work_id = self._deadlines.pop(0)
            work = ctx.accepted.get(work_id)
            if work is not None and not ctx.ledger.has_run(work.spec):
                self.close(work.spec, Reason.DEADLINE)

    def run_queue(self):
        """Try queued work in order while there is room."""
        ctx = self.ctx
        self.placing.requeue(self.queue, self._startable)
        if len(self.queue) and ctx.file is not None and not ctx.log_is_down:
            self.placing.run(self.queue, self._startable, self._waited_ms)

    def _waited_ms(self, spec):
        now_ms = self.ctx.now.wall_ms
        return now_ms - self._queued_at_ms.get(spec.work_id, now_ms)
