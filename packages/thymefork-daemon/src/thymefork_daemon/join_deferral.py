"""Who joins the group first once the store is back after an outage for all."""

from thymefork_net import steady_ms

__all__ = ["JoinDeferral"]

# Once the store answers this instance's reads for this long, an owner that still has
# not joined is cut off by itself: two of its tries to join, and the beat that tells.
OWNER_JOIN_TIMEOUT_MS = 400.0
# A read is answered in 5 to 7 ms; where the first one took longer than this, the store
# was away when this instance was started.
STORE_OUTAGE_MIN_MS = 100.0


class JoinDeferral:
    """Let an owner that waits for the store, as this instance does, join before it.

    Memberships may have run out in the outage. Whoever joins first is dealt the cells.
    The owner knows the addresses of all workers; entries of theirs that lapsed come
    back up to two seconds later, and a successor can start nothing there until then.
    The owner also knows what ended in the outage.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._first_check_ms = None

    def must_wait(self):
        """Tell whether this instance's own join has to wait."""
        if self._daemon.owners:
            return False
        if not self._daemon.membership.in_group:
            return self._must_wait_as_new_instance()
        return self._must_wait_as_member()

    def _must_wait_as_new_instance(self):
        """Tell whether the members, whom a newcomer can't know yet, go first.

        It sends nothing until its reads are answered: the store may carry out, on its
        return, a join that it did not answer.
        """
        now_ms = steady_ms()
        self._first_check_ms = self._first_check_ms or now_ms
        available_since_ms = self._daemon.store_readable_since_ms
        if available_since_ms is None:
            return True
        had_outage = available_since_ms - self._first_check_ms > STORE_OUTAGE_MIN_MS
        return had_outage and now_ms - available_since_ms <= OWNER_JOIN_TIMEOUT_MS

    def _must_wait_as_member(self):
        daemon = self._daemon
        if not daemon.layout.cells or self._has_store_recovered():
            return False
        if not daemon.readiness.hears_all_owners:
            return False
        owners = map(daemon.directory.owner_of, range(daemon.layout.cells))
        return not all(daemon.peers.has_store(owner) for owner in owners)

    def _has_store_recovered(self):
        available_since_ms = self._daemon.store_readable_since_ms
        return (
            available_since_ms is not None
            and steady_ms() - available_since_ms > OWNER_JOIN_TIMEOUT_MS
        )
