"""Let an owner continue in a store outage while a quorum of workers answers it.

During an outage nobody can take the cell over, so the owner keeps renewing leases. If
it is merely partitioned, a next owner raises the fence on the workers. Both need
overlapping quorums, so the previous owner can't renew leases after the next one has its
quorum.
"""

__all__ = [
    "INHERITED_QUORUM_FRACTION",
    "OUTAGE_GRACE_MS",
    "QUORUM_ANSWER_MAX_AGE_MS",
    "QUORUM_FRACTION",
    "Quorum",
    "is_quorum",
]

# An owner needs the answers of this share of its recorded workers.
QUORUM_FRACTION = 0.6
# A next owner needs half of the workers that it finds recorded, which are those that
# the owner before it counts. So both can't have enough, even if some of the records of
# workers that are gone were not removed yet.
INHERITED_QUORUM_FRACTION = 0.5
# An answer counts for this long: two polls at the interval of an outage.
QUORUM_ANSWER_MAX_AGE_MS = 800.0
# An owner continues at most this long without the store: a partitioned owner must not
# delay the next one for longer than restarting the tasks takes.
OUTAGE_GRACE_MS = 8_000.0


class Quorum:
    """Check whether a quorum of workers accepts this owner's fence."""

    def __init__(self, *, context):
        self._context = context

    def is_held(self, now_ms):
        """Return whether enough workers answered polls that were sent recently.

        Unlisted workers count, too, until they are known to be gone: in an outage their
        entries expire while another owner may still reach them. Only recorded ones
        count: a next owner can't know of the others.
        """
        answers = [
            worker.answered_poll_ms > now_ms - QUORUM_ANSWER_MAX_AGE_MS
            for worker in self._context.workers.values()
            if worker.is_recorded
        ]
        return is_quorum(sum(answers), len(answers), QUORUM_FRACTION)


def is_quorum(count, total, fraction):
    """Return whether a number of workers is at least a fraction of all."""
    return count > 0 and count >= fraction * total
