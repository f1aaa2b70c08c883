"""Workers that may hold what runs there for longer than a usual lease.

A lease names a moment on the clock of the life that it is meant for. Carried out late
by the next life, whose clock has begun anew, it reaches as far as a worker holds at
most. Whoever starts something there counts on that, and so has every owner after it: it
is stored before anything starts there, with the first start's intent at the latest.
"""

import orjson

from .quorum import max_lease_duration_ms

__all__ = ["EXTENDED_LEASE_KEY", "ExtendedLeases"]

EXTENDED_LEASE_KEY = "h"
# An order without an answer is carried out seconds late, if at all, also after newer
# ones were answered.
MAX_COMMAND_DELAY_MS = 10_000.0


class ExtendedLeases:
    """Keep, and hand on, which workers may hold their runs that long."""

    def __init__(self, *, context):
        self._context = context
        self._stored = set()  # ids of the workers with a record

    def on_next_incarnation(self, worker, successor, now_ms):
        """Count on a lease for a worker's life that its next one may have taken."""
        if (
            worker.lease_sent_ms
            and now_ms - worker.lease_sent_ms < MAX_COMMAND_DELAY_MS
        ):
            self.begin(successor, now_ms)

    def begin(self, worker, now_ms):
        """Count on a lease for an earlier life of a worker, taken by now at latest."""
        if worker.worker_id not in self._stored:
            self._stored.add(worker.worker_id)
            value = orjson.dumps([worker.born_epoch_ms])
            self._context.journal.put(EXTENDED_LEASE_KEY + worker.worker_id, value)
        self._tell(worker, "begun")
        self._count_on(worker, now_ms)

    def load(self, records, worker_of, now_ms):
        """Count on what a predecessor counted on, from now: clocks may differ."""
        for key in records:
            if not key.startswith(EXTENDED_LEASE_KEY):
                continue
            worker = worker_of(key.removeprefix(EXTENDED_LEASE_KEY))
            self._stored.add(worker.worker_id)
            self._tell(worker, "inherited")
            self._count_on(worker, now_ms)

    def _tell(self, worker, how):
        self._context.count("long_holds", how)
        self._context.note(
            f"long_hold_{how}",
            worker=worker.worker_id,
            born_epoch_ms=worker.born_epoch_ms,
            for_ms=round(max_lease_duration_ms(self._context.bounds.max_hold_ms)),
        )

    def _count_on(self, worker, now_ms):
        until_ms = now_ms + max_lease_duration_ms(self._context.bounds.max_hold_ms)
        worker.extended_lease_until_ms = until_ms
        worker.may_run_until_ms = max(worker.may_run_until_ms, until_ms)

    def on_answer(self, worker, now_ms):
        """Count from a life's first answer on: it refuses orders of before from now."""
        if worker.answered_poll_ms:
            return
        was_earlier = any(run.is_of_earlier_incarnation for run in worker.runs.values())
        if worker.extended_lease_until_ms or was_earlier:
            self.begin(worker, now_ms)

    def review(self, now_ms):
        """Drop the records of what is over."""
        for worker_id in list(self._stored):
            worker = self._context.workers.get(worker_id)
            if worker is None or now_ms > worker.extended_lease_until_ms:
                self._stored.discard(worker_id)
                self._context.journal.put(EXTENDED_LEASE_KEY + worker_id, b"")
                self._context.count("long_holds", "over")
