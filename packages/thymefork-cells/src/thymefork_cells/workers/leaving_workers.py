"""Give short leases to workers that are about to leave, and announce them."""

from ..effects import AnnounceLeases
from ..lease_notice import LeaseNotice, LeavingWorker, OwnerEnd

__all__ = ["LeavingWorkers"]


class LeavingWorkers:
    """Choose the workers that get short leases, and tell possible next owners.

    A promise holds as long as the ownership, also for later incarnations under the same
    id: next owners rely on it.
    """

    def __init__(self, *, context, inherited_leases):
        self._context = context
        self._inherited_leases = inherited_leases

    def review(self):
        """Announce the workers that are newly known to leave."""
        leaving = []
        for worker in self._context.workers.values():
            if worker.has_short_leases:
                continue
            until_ms = self._long_leases_until_ms(worker)
            if until_ms is not None:
                leaving.append(self._promise_short_leases(worker, until_ms))
        if leaving:
            self._announce(leaving)

    def _promise_short_leases(self, worker, until_ms):
        worker.has_short_leases = True
        self._context.short_lease_workers[worker.worker_id] = None
        return LeavingWorker(
            worker_id=worker.worker_id,
            born_epoch_ms=worker.born_epoch_ms,
            long_leases_until_ms=until_ms,
        )

    def _long_leases_until_ms(self, worker):
        """Return until when long leases last at a worker that leaves, or None.

        What the previous owner announced is passed on at once; otherwise its leases
        have to be bounded first.
        """
        announced_ms = self._inherited_leases.long_leases_until_ms(worker)
        if announced_ms is not None:
            return max(worker.may_run_until_ms, announced_ms)
        if self._inherited_leases.has_quorum and worker.entry.draining:
            return worker.runs_until_ms
        return None

    def _announce(self, leaving):
        self._context.count("lease_notices", "leaving_workers", len(leaving))
        notice = LeaseNotice(epoch=self._context.epoch, leaving=tuple(leaving))
        self._context.emit(AnnounceLeases(notice=notice))

    def end_notice(self, now_ms):
        """Return the announcement that this owner renews no lease after now."""
        inherited_ms = [
            worker.inherited_until_ms for worker in self._context.workers.values()
        ]
        end = OwnerEnd(
            ended_ms=now_ms,
            has_served=True,
            earlier_leases_until_ms=max(inherited_ms, default=0.0),
        )
        return LeaseNotice(epoch=self._context.epoch, end=end)
