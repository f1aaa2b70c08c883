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
        self._unready_since_ms = 0.0

    def check(self):
        """Return whether callers are welcome; note when that changes."""
        is_ready = self._is_ready()
        if is_ready:
            self._unready_since_ms = 0.0
        elif not self._unready_since_ms:
            self._unready_since_ms = steady_ms()
        return is_ready

    @property
    def is_cut_off(self):
        """Tell whether the others can serve what this instance, alone, can't.

        It was not ready for so long that new connections go elsewhere, and it does
        not reach the store either; without owners anywhere, the store would answer.
        """
        if self.check() or self._shell.reads_store:
            return False
        return steady_ms() - self._unready_since_ms > OUT_OF_ROTATION_MS

    def _is_ready(self):
        shell = self._shell
        if shell.configuration is None or shell.is_stopping or not shell.layout.cells:
            return False
        if shell.settings.orders_by_heartbeat:
            return False
        return all(self._reaches_owner(cell) for cell in range(shell.layout.cells))

    def _reaches_owner(self, cell):
        """Tell whether requests for a cell can be decided now.

        Callers of a hall that is cut off are led to other halls' instances once
        none in theirs is ready.
        """
        owner = self._shell.owners.get(cell)
        if owner is not None and owner.is_serving:
            return True
        address = self._shell.directory.owner_of(cell)
        if address is None:
            return False
        return self._shell.links.hears(address, OWNER_SILENCE_MS)
