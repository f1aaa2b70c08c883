"""Deferral of this instance's join until the cells' owners have joined."""

from thymefork_net import steady_ms

__all__ = ["JoinDeferral"]

# Once the store has been available for this long, enough for two joins and a heartbeat,
# an owner that has not joined has a fault of its own.
OWNER_JOIN_TIMEOUT_MS = 400.0
# A first read that takes longer than this means that the store was unavailable when
# this instance started.
STORE_OUTAGE_MIN_MS = 100.0


class JoinDeferral:
    """Let the owners join first after a store outage.

    Memberships may have expired in the outage, and the first members to join are
    assigned the cells. A previous owner knows the addresses of all workers and which
    runs ended in the outage; a new one could start nothing until the workers have
    registered again.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._first_check_ms = None

    def must_wait(self):
        """Return whether this instance has to wait with its join."""
        if self._daemon.owners:
            return False
        if not self._daemon.membership.in_group:
            return self._must_wait_as_new_instance()
        return self._must_wait_as_member()

    def _must_wait_as_new_instance(self):
        """Return whether to let the members join first, which are not known here yet.

        No join is sent before the store answers a read: the store may carry out an
        unanswered join once it is available again.
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
        if not daemon.readiness.are_owners_responsive:
            return False
        owners = map(daemon.directory.owner_of, range(daemon.layout.cells))
        return not all(daemon.peers.has_store(owner) for owner in owners)

    def _has_store_recovered(self):
        available_since_ms = self._daemon.store_readable_since_ms
        return (
            available_since_ms is not None
            and steady_ms() - available_since_ms > OWNER_JOIN_TIMEOUT_MS
        )
