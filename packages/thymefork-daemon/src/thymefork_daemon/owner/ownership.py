"""Certainty of a cell's ownership."""

from thymefork_cells.workers.quorum import OUTAGE_GRACE_MS

__all__ = ["Ownership"]


class Ownership:
    """Derive the state of one ownership from the membership of the group."""

    def __init__(self, *, membership, partition, epoch):
        self._membership = membership
        self._partition = partition
        self._epoch = epoch

    def is_certain(self):
        """Return whether the membership granted by the store covers the cell now."""
        return self._membership.holds(self._partition, self._epoch)

    def is_renewed(self):
        """Return whether the ownership is certain and the store is reachable."""
        return self.is_certain() and not self._membership.store_lost

    def is_possible(self):
        """Return whether the cell may still be owned here in a store outage."""
        return self._membership.holds(
            self._partition, self._epoch, grace_ms=OUTAGE_GRACE_MS
        )
