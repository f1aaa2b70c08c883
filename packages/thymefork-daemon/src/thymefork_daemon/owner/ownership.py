"""How certain it is that a cell is still owned here."""

from thymefork_cells.workers.quorum import OUTAGE_GRACE_MS

__all__ = ["Ownership"]


class Ownership:
    """Judge one ownership of a cell by this instance's membership of the group."""

    def __init__(self, *, membership, partition, epoch):
        self._membership = membership
        self._partition = partition
        self._epoch = epoch

    def is_certain(self):
        """Tell whether the cell is ours by what the store has granted."""
        return self._membership.holds(self._partition, self._epoch)

    def is_renewed(self):
        """Tell whether the membership stands and is still being renewed."""
        return self.is_certain() and not self._membership.store_lost

    def is_possible(self):
        """Tell whether the cell may still be ours though the store can't say so."""
        return self._membership.holds(
            self._partition, self._epoch, grace_ms=OUTAGE_GRACE_MS
        )
