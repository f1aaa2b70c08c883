"""Ends that are heard and not stored yet, told to those who may own the cell next.

A worker lists an end until it is stored, so a successor hears it again, unless the
worker has left by then. Without what was told, the successor waits for leases and runs
tasks again that were done, while the steps after them stand still. Nothing is told
while the store answers.
"""

from attrs import frozen

from ..effects import AnnounceEnds
from ..reports import HeardEnd

__all__ = ["ANNOUNCE_AFTER_MS", "UnstoredEnds"]

# An end is stored within 30 ms and an append, 40 ms in all; one that waits for five
# times as long says that the store is slow or away, and is told with all that wait.
ANNOUNCE_AFTER_MS = 200.0


@frozen(kw_only=True)
class _Heard:
    """Hold an end, its number on the worker, and when it was heard."""

    number: int
    end: HeardEnd
    heard_ms: float


class UnstoredEnds:
    """Keep the ends of runs until they are stored."""

    def __init__(self, *, context):
        self._context = context
        self._heard = {}  # lists by a worker's life, in the order of their numbers
        self._untold = {}  # by life and number

    def add(self, worker, row, *, now_ms):
        """Take note of an end that a worker lists."""
        end = HeardEnd(
            worker_id=worker.worker_id,
            task=row.task,
            run_id=row.run_id,
            how=row.how,
            checkpoint=row.checkpoint,
        )
        heard = _Heard(number=row.number, end=end, heard_ms=now_ms)
        self._heard.setdefault(worker.incarnation, []).append(heard)
        self._untold[worker.incarnation, row.number] = heard

    def mark_stored(self, worker, last_end, *, now_ms):
        """Take note that a worker's ends are stored up to a number."""
        heard = self._heard.pop(worker.incarnation, [])
        waiting = [row for row in heard if row.number > last_end]
        if waiting:
            self._heard[worker.incarnation] = waiting
        stored = heard[: len(heard) - len(waiting)]
        for row in stored:
            self._untold.pop((worker.incarnation, row.number), None)
        late = [row for row in stored if row.heard_ms < now_ms - ANNOUNCE_AFTER_MS]
        self._note("ends_stored_late", late, now_ms)

    def announce_if_late(self, now_ms):
        """Tell the ends that wait, once the first of them has waited too long."""
        first_ms = min(
            (rows[0].heard_ms for rows in self._heard.values()), default=now_ms
        )
        if now_ms - first_ms > ANNOUNCE_AFTER_MS:
            self.announce(now_ms)

    def announce(self, now_ms):
        """Tell the ends that were not told yet."""
        untold, self._untold = list(self._untold.values()), {}
        if untold:
            self._note("ends_told", untold, now_ms)
            self._context.emit(AnnounceEnds(ends=tuple(row.end for row in untold)))

    def _note(self, event, rows, now_ms):
        """Log one line a job."""
        by_job = {}
        for row in rows:
            by_job.setdefault(row.end.job_id, []).append(row)
        for job_id, heard in by_job.items():
            self._context.note(
                event,
                job=job_id,
                ends=len(heard),
                first_task=heard[0].end.task,
                heard_ms_ago=round(now_ms - heard[0].heard_ms),
                epoch=self._context.epoch,
            )
