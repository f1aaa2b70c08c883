"""Track workers whose leases may last up to the maximum that a worker grants.

A lease ends at a time on the clock of one incarnation. If it is delivered late, to the
next incarnation, whose clock was reset, it lasts for `max_hold_ms`. Every later owner
has to wait for such a lease, so a record of it is stored before anything starts there.
"""

import orjson

from ..state import MAX_COMMAND_DELAY_MS
from .lease_duration import max_lease_duration_ms

__all__ = ["EXTENDED_LEASE_KEY", "ExtendedLeases"]

EXTENDED_LEASE_KEY = "h"


class ExtendedLeases:
    """Keep and store which workers may have an extended lease."""

    def __init__(self, *, context):
        self._context = context
        self._stored_worker_ids = set()

    def on_next_incarnation(self, worker, next_worker, now_ms):
        """Assume an extended lease if the next incarnation may have taken a lease."""
        if (
            worker.lease_sent_ms
            and now_ms - worker.lease_sent_ms < MAX_COMMAND_DELAY_MS
        ):
            self.assume_lease(next_worker, now_ms)

    def assume_lease(self, worker, now_ms):
        """Assume that a worker has an extended lease, taken at the latest by now."""
        if worker.worker_id not in self._stored_worker_ids:
            self._stored_worker_ids.add(worker.worker_id)
            value = orjson.dumps([worker.born_epoch_ms])
            self._context.journal.put(EXTENDED_LEASE_KEY + worker.worker_id, value)
        self._log(worker, "begun")
        self._extend(worker, now_ms)

    def load(self, records, worker_of, now_ms):
        """Load the stored records; leases count from now, since clocks may differ."""
        for key in records:
            if not key.startswith(EXTENDED_LEASE_KEY):
                continue
            worker = worker_of(key.removeprefix(EXTENDED_LEASE_KEY))
            self._stored_worker_ids.add(worker.worker_id)
            self._log(worker, "inherited")
            self._extend(worker, now_ms)

    def _log(self, worker, how):
        self._context.count("long_holds", how)
        self._context.note(
            f"long_hold_{how}",
            worker=worker.worker_id,
            born_epoch_ms=worker.born_epoch_ms,
            for_ms=round(max_lease_duration_ms(self._context.bounds.max_hold_ms)),
        )

    def _extend(self, worker, now_ms):
        until_ms = now_ms + max_lease_duration_ms(self._context.bounds.max_hold_ms)
        worker.extended_lease_until_ms = until_ms
        worker.may_run_until_ms = max(worker.may_run_until_ms, until_ms)

    def on_answer(self, worker, now_ms):
        """Restart the lease at an incarnation's first answer.

        From then on it rejects commands for earlier incarnations.
        """
        if worker.answered_poll_ms:
            return
        was_earlier = any(run.is_of_earlier_incarnation for run in worker.runs.values())
        if worker.extended_lease_until_ms or was_earlier:
            self.assume_lease(worker, now_ms)

    def review(self, now_ms):
        """Drop the records of leases that are over."""
        for worker_id in list(self._stored_worker_ids):
            worker = self._context.workers.get(worker_id)
            if worker is None or now_ms > worker.extended_lease_until_ms:
                self._stored_worker_ids.discard(worker_id)
                self._context.journal.put(EXTENDED_LEASE_KEY + worker_id, b"")
                self._context.count("long_holds", "over")
