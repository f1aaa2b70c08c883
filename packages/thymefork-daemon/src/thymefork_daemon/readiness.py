"""Readiness of this instance to serve callers."""

from thymefork_net import steady_ms

__all__ = ["Readiness"]

# Two missed heartbeats of HEARTBEAT_MS.
READINESS_TIMEOUT_MS = 650.0
# The load balancer removes an instance from rotation after two failed checks, a second
# apart; by then new connections go elsewhere.
OUT_OF_ROTATION_MS = 2_500.0


class Readiness:
    """Track whether this instance can have requests decided, and since when not."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._unresponsive_since_ms = 0.0

    def check(self):
        """Return whether this instance is ready for callers."""
        daemon = self._daemon
        if (
            daemon.configuration is None
            or daemon.is_stopping
            or not daemon.layout.cells
        ):
            return False
        if daemon.settings.commands_by_heartbeat:
            return False
        cells = range(daemon.layout.cells)
        if not self.are_owners_responsive:
            self._unresponsive_since_ms = self._unresponsive_since_ms or steady_ms()
            return False
        self._unresponsive_since_ms = 0.0
        return all(self._owner_has_store(cell) for cell in cells)

    @property
    def are_owners_responsive(self):
        """Return whether each cell's owner is local or was heard recently."""
        cells = range(self._daemon.layout.cells)
        return all(self._is_owner_responsive(cell) for cell in cells)

    @property
    def is_disconnected(self):
        """Return whether this instance alone cannot serve requests.

        It has not heard an owner for long enough to be out of rotation, and it does not
        reach the store, which would answer if there were merely no owners.
        """
        self.check()
        if self._daemon.can_read_store or not self._unresponsive_since_ms:
            return False
        return steady_ms() - self._unresponsive_since_ms > OUT_OF_ROTATION_MS

    def _is_owner_responsive(self, cell):
        owner = self._daemon.owners.get(cell)
        if owner is not None and owner.is_serving:
            return True
        address = self._daemon.directory.owner_of(cell)
        if address is None:
            return False
        return self._daemon.links.is_responsive(address, READINESS_TIMEOUT_MS)

    def _owner_has_store(self, cell):
        """Return whether a cell's owner reaches the store and can accept requests.

        An owner disconnected with its hall still serves reads; callers go to other
        halls once no instance of theirs is ready.
        """
        if cell in self._daemon.owners:
            return not self._daemon.membership.store_lost
        return self._daemon.peers.has_store(self._daemon.directory.owner_of(cell))
