"""Whether callers are welcome at this instance."""

from thymefork_net import steady_ms

__all__ = ["Readiness"]

# An owner that was not heard for this long (two heartbeats) is not counted on.
OWNER_SILENCE_MS = 650.0
# The balancer asks every second and takes an instance out after two misses; by then it
# leads new connections elsewhere.
OUT_OF_ROTATION_MS = 2_500.0


class Readiness:
    """Tell whether requests can be decided from here, and since when they can't."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._unheard_since_ms = 0.0

    def check(self):
        """Return whether callers are welcome; note since when owners are not heard."""
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
        if not self.hears_all_owners:
            self._unheard_since_ms = self._unheard_since_ms or steady_ms()
            return False
        self._unheard_since_ms = 0.0
        return all(self._owner_has_store(cell) for cell in cells)

    @property
    def hears_all_owners(self):
        """Tell whether each cell's owner is here or was heard lately."""
        cells = range(self._daemon.layout.cells)
        return all(self._hears_owner(cell) for cell in cells)

    @property
    def is_disconnected(self):
        """Tell whether the others can serve what this instance, alone, can't.

        It has not heard an owner for so long that new connections go elsewhere, and
        does not reach the store either; without owners anywhere, that would answer.
        """
        self.check()
        if self._daemon.can_read_store or not self._unheard_since_ms:
            return False
        return steady_ms() - self._unheard_since_ms > OUT_OF_ROTATION_MS

    def _hears_owner(self, cell):
        owner = self._daemon.owners.get(cell)
        if owner is not None and owner.is_serving:
            return True
        address = self._daemon.directory.owner_of(cell)
        if address is None:
            return False
        return self._daemon.links.is_responsive(address, OWNER_SILENCE_MS)

    def _owner_has_store(self, cell):
        """Tell whether a cell's owner can accept anything.

        An owner that is cut off with its hall goes on telling states; the hall's
        callers are led to other halls' instances once none in theirs is ready.
        """
        if cell in self._daemon.owners:
            return not self._daemon.membership.store_lost
        return self._daemon.peers.has_store(self._daemon.directory.owner_of(cell))
