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

    def __init__(self, *, shell):
        self._shell = shell
        self._unheard_since_ms = 0.0

    def check(self):
        """Return whether callers are welcome; note since when owners are not heard."""
        shell = self._shell
        if shell.configuration is None or shell.is_stopping or not shell.layout.cells:
            return False
        if shell.settings.orders_by_heartbeat:
            return False
        cells = range(shell.layout.cells)
        if not all(self._hears_owner(cell) for cell in cells):
            self._unheard_since_ms = self._unheard_since_ms or steady_ms()
            return False
        self._unheard_since_ms = 0.0
        return all(self._owner_has_store(cell) for cell in cells)

    @property
    def is_cut_off(self):
        """Tell whether the others can serve what this instance, alone, can't.

        It has not heard an owner for so long that new connections go elsewhere, and
        does not reach the store either; without owners anywhere, that would answer.
        """
        self.check()
        if self._shell.reads_store or not self._unheard_since_ms:
            return False
        return steady_ms() - self._unheard_since_ms > OUT_OF_ROTATION_MS

    def _hears_owner(self, cell):
        owner = self._shell.owners.get(cell)
        if owner is not None and owner.is_serving:
            return True
        address = self._shell.directory.owner_of(cell)
        if address is None:
            return False
        return self._shell.links.hears(address, OWNER_SILENCE_MS)

    def _owner_has_store(self, cell):
        """Tell whether a cell's owner can accept anything.

        An owner that is cut off with its hall goes on telling states; the hall's
        callers are led to other halls' instances once none in theirs is ready.
        """
        if cell in self._shell.owners:
            return not self._shell.membership.store_lost
        return self._shell.peers.has_store(self._shell.directory.owner_of(cell))
