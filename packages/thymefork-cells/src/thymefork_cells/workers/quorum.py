"""Let an owner continue in a store outage while a quorum of workers answers it.

During an outage nobody can take the cell over, so the owner keeps renewing leases. If
it is merely partitioned, a next owner raises the fence on the workers. Both need
overlapping quorums, so the previous owner can't renew leases after the next one has its
quorum.
"""

__all__ = ["OUTAGE_GRACE_MS", "QUORUM_ANSWER_MAX_AGE_MS", "Quorum", "is_quorum"]

# Two quorums overlap even if the workers that the two owners know differ by a fifth.
QUORUM_FRACTION = 0.6
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
        entries expire while another owner may still reach them.
        """
        answers = [
            worker.answered_poll_ms > now_ms - QUORUM_ANSWER_MAX_AGE_MS
            for worker in self._context.workers.values()
            if worker.counts_for_quorum
        ]
        return is_quorum(sum(answers), len(answers))


def is_quorum(count, total):
    """Return whether a number of workers is a quorum of all."""
    return count > 0 and count >= QUORUM_FRACTION * total
