"""Run ends that are not stored yet, announced to possible next owners of the cell.

A worker reports an end until it is stored. If the worker leaves before that, a next
owner would wait for its leases and repeat tasks that were done. Ends are announced only
while the store is slow or unavailable.
"""

from attrs import frozen

from ..effects import AnnounceEnds
from ..reports import HeardEnd

__all__ = ["ANNOUNCE_AFTER_MS", "UnstoredEnds"]

# An end is usually stored within 40 ms: it waits up to 30 ms for others, then comes an
# append. One that waits five times as long shows that the store is slow or unavailable.
# All pending ends are then announced.
ANNOUNCE_AFTER_MS = 200.0


@frozen(kw_only=True)
class _ReceivedEnd:
    """Hold a run end, its number on the worker and when it was received."""

    number: int
    end: HeardEnd
    received_ms: float


class UnstoredEnds:
    """Keep run ends until they are stored, and announce those that are late."""

    def __init__(self, *, context):
        self._context = context
        self._received = {}  # lists by incarnation, in the order of their numbers
        self._unannounced = {}  # by incarnation and number

    def add(self, worker, row, *, now_ms):
        """Add a run end that a worker reports."""
        end = HeardEnd(
            worker_id=worker.worker_id,
            task=row.task,
            run_id=row.run_id,
            how=row.how,
            checkpoint=row.checkpoint,
        )
        received = _ReceivedEnd(number=row.number, end=end, received_ms=now_ms)
        self._received.setdefault(worker.incarnation, []).append(received)
        self._unannounced[worker.incarnation, row.number] = received

    def mark_stored(self, worker, last_end, *, now_ms):
        """Drop a worker's ends up to a number, which are stored now."""
        received = self._received.pop(worker.incarnation, [])
        waiting = [row for row in received if row.number > last_end]
        if waiting:
            self._received[worker.incarnation] = waiting
        stored = received[: len(received) - len(waiting)]
        for row in stored:
            self._unannounced.pop((worker.incarnation, row.number), None)
        late = [row for row in stored if row.received_ms < now_ms - ANNOUNCE_AFTER_MS]
        self._log_by_job("ends_stored_late", late, now_ms)

    def announce_if_late(self, now_ms):
        """Announce the pending ends once the first of them has waited too long.

        While the store is unavailable they are announced at once: their owner may end
        at any time.
        """
        if self._context.is_store_unavailable:
            self.announce(now_ms)
            return
        first_ms = min(
            (rows[0].received_ms for rows in self._received.values()), default=now_ms
        )
        if now_ms - first_ms > ANNOUNCE_AFTER_MS:
            self.announce(now_ms)

    def announce(self, now_ms):
        """Announce the ends that were not announced yet."""
        unannounced, self._unannounced = list(self._unannounced.values()), {}
        if unannounced:
            self._log_by_job("ends_told", unannounced, now_ms)
            self._context.emit(AnnounceEnds(ends=tuple(row.end for row in unannounced)))

    def _log_by_job(self, event, rows, now_ms):
        """Log one line for each job."""
        by_job = {}
        for row in rows:
            by_job.setdefault(row.end.job_id, []).append(row)
        for job_id, received in by_job.items():
            self._context.note(
                event,
                job=job_id,
                ends=len(received),
                first_task=received[0].end.task,
                heard_ms_ago=round(now_ms - received[0].received_ms),
                epoch=self._context.epoch,
            )
