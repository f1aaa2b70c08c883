"""Workers that this instance owns: taking over, checking and giving up views."""

from thymefork_core.batch import TaskKey
from thymefork_core.capacity import WorkerView

from ..effects import CloseIdle

__all__ = ["OwnedWorkers"]


class OwnedWorkers:
    """Keep a view of each owned worker, closed until a fresh report has come.

    `open_at` tells what this instance still has open at a worker from before.
    """

    def __init__(self, *, context):
        self.ctx = context
        self.open_at = None
        self._foreign = {}
        self._acquired_at_ms = {}

    def acquire(self, worker, *, claimed):
        """Make a view that counts all that may be running; return the attempts."""
        ctx = self.ctx
        decl = ctx.file.worker(worker) if ctx.file else None
        if decl is None:
            return []
        services = ctx.file.services
        view = WorkerView(
            name=worker,
            rack=decl.rack,
            total=decl.resources,
            slots=min((s.slots for s in services), default=0),
            connections=min((s.connections for s in services), default=0),
            epoch=ctx.ledger.state.epochs.get(worker, 0),
        )
        view.held_connections = ctx.ledger.held_elsewhere(worker, ctx.incarnation)
        if self.open_at is not None:
            view.lookups = self.open_at.lookups_open(worker)
            view.streams = self.open_at.streams_held(worker)
        ctx.book.add(view)
        self._acquired_at_ms[worker] = ctx.now.wall_ms
        if claimed:
            self._foreign[worker] = None
        attempts = ctx.ledger.open_attempts(worker)
        for attempt in attempts:
            key = TaskKey(attempt.work_id, attempt.task)
            ctx.book.take(worker, key, attempt.resources)
        return attempts

    def missing(self):
        """Return owned workers without a view, such as ones declared later."""
        owned = self.ctx.ledger.owned_by(self.ctx.incarnation)
        return [worker for worker in owned if self.ctx.book.get(worker) is None]

    def drop(self, worker):
        """Forget a worker that another instance owns now."""
        if self.ctx.book.remove(worker) is not None:
            self.ctx.emit(CloseIdle(worker=worker))
        self._foreign.pop(worker, None)

    def verify(self, view, report):
        """Open a worker once its report is newer than the change of owner."""
        ctx = self.ctx
        view.reachable = True
        view.leaving = report.leaving or ctx.members.worker_is_leaving(view.name)
        if view.name in self._foreign:
            self._foreign[view.name] = self._count_foreign(view.name, report)
        skew_ms = ctx.limits.clock_skew_ms
        if report.measured_at_ms > self._acquired_at_ms[view.name] - skew_ms:
            view.verified = True
        self.refresh_held(view.name)

    def _count_foreign(self, worker, report):
        """Bound the connections that a claimed owner may still hold."""
        before = self._foreign[worker]
        if before is None:
            return report.connections
        return min(before, report.connections)

    def refresh_held(self, worker):
        """Count the connections that others still hold at a worker."""
        view = self.ctx.book.get(worker)
        if view is None:
            return
        told = self.ctx.ledger.held_elsewhere(worker, self.ctx.incarnation)
        view.held_connections = max(told, self._foreign.get(worker) or 0)
