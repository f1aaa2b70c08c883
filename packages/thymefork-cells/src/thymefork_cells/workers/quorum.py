"""Let an owner continue in a store outage while a quorum of workers answers it.

During an outage nobody can take the cell over, so the owner keeps renewing leases. If
it is merely partitioned, a next owner raises the fence on the workers. Both need
overlapping quorums, so the previous owner can't renew leases after the next one has its
quorum.
"""

from .worker_poller import CLOCK_DRIFT_FACTOR, LEASE_MARGIN_MS, LEASE_MS

__all__ = [
    "OUTAGE_GRACE_MS",
    "QUORUM_ANSWER_MAX_AGE_MS",
    "Quorum",
    "max_lease_duration_ms",
]

# Two quorums overlap even if the workers that the two owners know differ by a fifth.
QUORUM_FRACTION = 0.6
# An answer counts for this long: two polls at the interval of an outage.
QUORUM_ANSWER_MAX_AGE_MS = 800.0
# An owner continues at most this long without the store: a partitioned owner must not
# delay the next one for longer than restarting the tasks takes.
OUTAGE_GRACE_MS = 8_000.0


class Quorum:
    """Check the quorum, and bound the leases that the previous owner may have given."""

    def __init__(self, *, context, membership_ms):
        self._context = context
        self._membership_ms = membership_ms
        self._reached_ms = 0.0

    def is_held(self, now_ms):
        """Return whether enough workers answered polls that were sent recently.

        Unlisted workers count, too, until they are known to be gone: in an outage their
        entries expire while another owner may still reach them.
        """
        workers = self._context.workers.values()
        recent_answer_count = sum(
            worker.answered_poll_ms > now_ms - QUORUM_ANSWER_MAX_AGE_MS
            for worker in workers
        )
        return recent_answer_count > 0 and recent_answer_count >= QUORUM_FRACTION * len(
            workers
        )

    def bound_inherited_leases(self, now_ms):
        """Bound the leases that the previous owner may have given to any worker."""
        bound_ms = (
            now_ms
            + self._membership_ms
            + OUTAGE_GRACE_MS
            + max_lease_duration_ms(LEASE_MS)
        )
        for worker in self._context.workers.values():
            worker.inherited_until_ms = bound_ms

    def check(self, now_ms):
        """Shorten the bound on inherited leases once a quorum accepts the new fence.

        The previous owner renews leases while it is a member, and after that while it
        has a quorum, which ends now.
        """
        if self._reached_ms or not self.is_held(now_ms):
            return
        self._reached_ms = now_ms
        member_until_ms = self._context.taken_over_ms + self._membership_ms
        renewed_until_ms = max(member_until_ms, now_ms + QUORUM_ANSWER_MAX_AGE_MS)
        bound_ms = renewed_until_ms + max_lease_duration_ms(LEASE_MS)
        for worker in self._context.workers.values():
            worker.inherited_until_ms = min(worker.inherited_until_ms, bound_ms)


def max_lease_duration_ms(lease_ms):
    """Return how long a lease lasts at most when measured by a worker's clock."""
    return lease_ms * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
