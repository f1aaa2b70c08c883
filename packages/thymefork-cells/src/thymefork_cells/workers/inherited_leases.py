"""Bound the leases that previous owners of a cell may have given.

A worker that can't be asked may still run what previous owners have started, until
their leases are over. Each of these tells when that is:

- A quorum of the workers that the previous owner knew accepts the new owner's fence:
  after that no previous owner can renew a lease for longer than its own quorum lasts.
  A worker keeps the highest fence, so it counts however long ago it answered.
- The previous owner announced that it has ended.
- The previous owner announced that a worker is about to leave and that it gives only
  short leases there.

An announcement holds for the leases of one epoch. So each owner stores its epoch before
it gives any lease, which shows whether another owner came between.
"""

import orjson

from .lease_duration import LEASE_MS, SHORT_LEASE_MS, max_lease_duration_ms
from .quorum import (
    INHERITED_QUORUM_FRACTION,
    OUTAGE_GRACE_MS,
    QUORUM_ANSWER_MAX_AGE_MS,
    QUORUM_FRACTION,
    is_quorum,
)

__all__ = ["EPOCH_KEY", "InheritedLeases"]

# Prefix of the keys of the records that name the epochs of recent owners.
EPOCH_KEY = "e"
# Key under which owners of earlier releases store their name and epoch. One that came
# after all known epochs has made no promise.
LEGACY_OWNER_KEY = "o"


class InheritedLeases:
    """Bound the inherited leases, the more tightly the more is known."""

    def __init__(self, *, context, membership_ms):
        self._context = context
        self._member_until_ms = context.taken_over_ms + membership_ms
        self._renewed_until_ms = self._member_until_ms + OUTAGE_GRACE_MS
        self._earlier_epochs = ()
        self._previous_worker_ids = ()
        self._notices = {}  # lists by epoch
        self._leaving = {}  # by worker id
        self._quorum_reached_ms = None

    @property
    def has_quorum(self):
        """Return whether a quorum has accepted this owner's fence since it took over.

        The bounds are final then, but for what a later notice may add.
        """
        return self._quorum_reached_ms is not None

    @property
    def quorum_after_ms(self):
        """Return how long after the takeover a quorum was reached, None if it was not.

        Units: milliseconds.
        """
        if self._quorum_reached_ms is None:
            return None
        return round(self._quorum_reached_ms - self._context.taken_over_ms)

    @property
    def leaving_count(self):
        """Return how many workers the previous owner announced as leaving."""
        return len(self._leaving)

    @property
    def is_end_known(self):
        """Return whether the previous owner announced that it has ended."""
        return self._end_of(self._previous_epoch()) is not None

    def long_leases_until_ms(self, worker):
        """Return until when announced long leases last, None without announcement."""
        leaving = self._leaving.get(worker.worker_id)
        return leaving.long_leases_until_ms if leaving is not None else None

    def load(self, records):
        """Load the epochs of previous owners, and bound what they may have given."""
        self._earlier_epochs = self._epochs_in(records)
        if self._earlier_epochs:
            self._previous_worker_ids = tuple(self._context.workers)
        for worker in self._context.workers.values():
            worker.inherited_until_ms = self._bound_ms(None, None)

    def _epochs_in(self, records):
        """Return the epochs of earlier owners, the last first, none if unknown."""
        epochs = [
            int(key.removeprefix(EPOCH_KEY))
            for key in records
            if key.startswith(EPOCH_KEY)
        ]
        earlier = [epoch for epoch in epochs if epoch < self._context.epoch]
        if LEGACY_OWNER_KEY in records:
            _, legacy_epoch = orjson.loads(records[LEGACY_OWNER_KEY])
            if legacy_epoch > max(earlier, default=0):
                return ()
        return tuple(sorted(earlier, reverse=True))

    def check(self, now_ms):
        """Tighten the bounds once a quorum accepts the new fence.

        The previous owner renews leases while it is a member, and after that while it
        has a quorum, which ends now.
        """
        if self.has_quorum or not self._is_fence_accepted():
            return
        self._quorum_reached_ms = now_ms
        self._context.has_quorum = True
        quorum_until_ms = now_ms + QUORUM_ANSWER_MAX_AGE_MS
        self._renewed_until_ms = max(self._member_until_ms, quorum_until_ms)
        self._update_bounds()
        for epoch in self._earlier_epochs:
            self._context.journal.put(f"{EPOCH_KEY}{epoch}", b"")

    def _is_fence_accepted(self):
        """Return whether a quorum of the previous owner's workers accepts this fence.

        Without records of them all workers that are known by now have to do.
        """
        workers = self._context.workers
        recorded_ids = self._previous_worker_ids
        accepted = sum(
            worker_id in workers and workers[worker_id].has_answered
            for worker_id in recorded_ids or workers
        )
        if recorded_ids:
            return is_quorum(accepted, len(recorded_ids), INHERITED_QUORUM_FRACTION)
        return is_quorum(accepted, len(workers), QUORUM_FRACTION)

    def apply(self, notice):
        """Tighten the bounds by an announcement of a previous owner."""
        self._notices.setdefault(notice.epoch, []).append(notice)
        if notice.epoch not in self._earlier_epochs:
            return
        self._leaving = {
            worker.worker_id: worker
            for known in self._notices.get(self._previous_epoch(), ())
            for worker in known.leaving
        }
        for worker in self._context.workers.values():
            leaving = self._leaving.get(worker.worker_id)
            if leaving is not None and _is_same_incarnation(worker, leaving):
                worker.is_announced_leaving = True
        self._update_bounds()

    def _previous_epoch(self):
        """Return the epoch of the last owner that may have given leases, or None."""
        for epoch in self._earlier_epochs:
            end = self._end_of(epoch)
            if end is None or end.has_served:
                return epoch
        return None

    def _end_of(self, epoch):
        ends = [notice.end for notice in self._notices.get(epoch, ()) if notice.end]
        return ends[0] if ends else None

    def _update_bounds(self):
        end = self._end_of(self._previous_epoch())
        for worker in self._context.workers.values():
            bound_ms = self._bound_ms(self._leaving.get(worker.worker_id), end)
            worker.inherited_until_ms = min(worker.inherited_until_ms, bound_ms)

    def _bound_ms(self, leaving, end):
        """Return the time by which all leases of previous owners at a worker end."""
        lease_ms = LEASE_MS if leaving is None else SHORT_LEASE_MS
        duration_ms = max_lease_duration_ms(lease_ms)
        bound_ms = self._renewed_until_ms + duration_ms
        if end is not None:
            end_bound_ms = max(end.ended_ms + duration_ms, end.earlier_leases_until_ms)
            bound_ms = min(bound_ms, end_bound_ms)
        if leaving is not None:
            bound_ms = max(bound_ms, leaving.long_leases_until_ms)
        return bound_ms


def _is_same_incarnation(worker, leaving):
    """Return whether all runs of a worker are of the incarnation that leaves."""
    same = (0, leaving.born_epoch_ms)
    return all(run.born_epoch_ms in same for run in worker.runs.values())
