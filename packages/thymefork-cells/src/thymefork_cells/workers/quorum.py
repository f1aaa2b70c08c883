"""Going on without the store: only while most workers take the owner's word.

An owner whose membership can't be renewed goes on renewing leases, since in an outage
of the store nobody can follow it. If it is merely cut off itself, a successor raises
its fence on the workers. Both need the word of the same large share of them, so once
the successor has it, the predecessor can't renew anything for longer than a moment.
"""

from .worker_poller import CLOCK_DRIFT_FACTOR, LEASE_MARGIN_MS, LEASE_MS

__all__ = [
    "OUTAGE_GRACE_MS",
    "QUORUM_ANSWER_MAX_AGE_MS",
    "Quorum",
    "max_lease_duration_ms",
]

# The share of workers whose word is needed; any two such shares overlap, even if the
# workers that the two owners know of differ by a fifth.
SHARE = 0.6
# A worker's word counts for this long: two looks at the pace of an outage.
QUORUM_ANSWER_MAX_AGE_MS = 800.0
# An owner without the store goes on at most this long. In a longer outage what runs is
# given up by its leases: an owner that is merely cut off would hold up its successor
# for longer than starting the tasks again takes.
OUTAGE_GRACE_MS = 8_000.0


class Quorum:
    """Tell whether most workers answer this owner, and what that rules out."""

    def __init__(self, *, context, membership_ms):
        self._context = context
        self._membership_ms = membership_ms
        self._won_ms = 0.0

    def is_held(self, now_ms):
        """Tell whether enough workers answer looks that were sent just now.

        Workers that are not listed count, too, until they are known to be gone: in an
        outage, or behind a cut, their entries lapse while another owner may well reach
        them. Counted over the list alone, the few that were left made a quorum: others'
        tasks were given up 4.2 s after a takeover (12.2 s with all of them counted, on
        virtual time), when a predecessor may renew them for 9 s.
        """
        workers = self._context.workers.values()
        heard = sum(
            worker.answered_poll_ms > now_ms - QUORUM_ANSWER_MAX_AGE_MS
            for worker in workers
        )
        return heard > 0 and heard >= SHARE * len(workers)

    def bound_inherited_leases(self, now_ms):
        """Bound what the predecessor's leases may keep alive on silent workers."""
        bound_ms = (
            now_ms
            + self._membership_ms
            + OUTAGE_GRACE_MS
            + max_lease_duration_ms(LEASE_MS)
        )
        for worker in self._context.workers.values():
            worker.inherited_until_ms = bound_ms

    def check(self, now_ms):
        """Shorten that bound once enough workers have taken this owner's fence.

        The predecessor renews leases as long as it counts itself a member, and after
        that while it has a quorum; what the quorum answered it was sent before now.
        """
        if self._won_ms or not self.is_held(now_ms):
            return
        self._won_ms = now_ms
        member_until_ms = self._context.taken_over_ms + self._membership_ms
        renewed_until_ms = max(member_until_ms, now_ms + QUORUM_ANSWER_MAX_AGE_MS)
        bound_ms = renewed_until_ms + max_lease_duration_ms(LEASE_MS)
        for worker in self._context.workers.values():
            worker.inherited_until_ms = min(worker.inherited_until_ms, bound_ms)


def max_lease_duration_ms(lease_ms):
    """Return for how long at most a lease lasts that a worker's clock measures."""
    return lease_ms * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
