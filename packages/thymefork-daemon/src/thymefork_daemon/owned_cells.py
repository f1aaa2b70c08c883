"""The cells owned by this instance."""

from .owner import CellOwner

__all__ = ["OwnedCells"]

# Fraction of this process's sockets that stops may take; the others are for callers,
# peers, the store and the polls.
STOP_SOCKETS_FRACTION = 0.5


class OwnedCells:
    """Manage one owner for each cell assigned to this instance, in `owners` by cell.

    Events that concern all cells are forwarded to their owners.
    """

    def __init__(self, *, daemon):
        self.owners = {}
        self._daemon = daemon

    @property
    def stop_slots(self):
        """Return how many stops each cell may have in flight, a connection each."""
        sockets = STOP_SOCKETS_FRACTION * self._daemon.settings.max_sockets
        return max(1, int(sockets / max(1, len(self.owners))))

    def update(self):
        """Follow the assignment: end owners of lost cells and take over new ones."""
        if not self._daemon.layout.cells:
            return
        epochs = self._assigned_epochs()
        self._end_unassigned(epochs)
        if self._daemon.is_stopping:
            return
        self._daemon.worker_list.set_wanted(bool(epochs))
        for cell, epoch in epochs.items():
            if cell not in self.owners:
                owner = CellOwner(cell_index=cell, epoch=epoch, daemon=self._daemon)
                self.owners[cell] = owner
                owner.start()

    def _assigned_epochs(self):
        """Return the epoch of each cell whose partition is assigned here."""
        layout, assigned = self._daemon.layout, self._daemon.membership.epochs
        partitions = {cell: layout.partition_of(cell) for cell in range(layout.cells)}
        return {
            cell: assigned[partition]
            for cell, partition in partitions.items()
            if partition in assigned
        }

    def _end_unassigned(self, epochs):
        for cell, owner in list(self.owners.items()):
            if epochs.get(cell) != owner.epoch:
                owner.end("the cell was assigned to another instance")
                del self.owners[cell]
                self._daemon.peers.send_heartbeats()

    # From the owners ---------------------------------------------------------

    def on_ownership_lost(self, owner):
        """Remove a cell; a later generation of the group may assign it again."""
        if self.owners.get(owner.cell_index) is owner:
            del self.owners[owner.cell_index]
        partition = self._daemon.layout.partition_of(owner.cell_index)
        self._daemon.membership.drop_partition(partition, owner.epoch)

    def on_serving(self):
        """Announce the new ownership to all peers without delay."""
        self._daemon.peers.send_heartbeats()

    # To the owners -----------------------------------------------------------

    def on_peer_ownership(self, owned_cells):
        """Drop a cell that a peer serves under a later epoch."""
        for owned in owned_cells:
            owner = self.owners.get(owned.cell)
            if owner is not None and owned.epoch > owner.epoch:
                owner.drop_ownership(f"a peer owns the cell under epoch {owned.epoch}")

    def on_worker_list(self):
        """Forward an update of the platform's worker list."""
        for owner in list(self.owners.values()):
            owner.on_worker_list()

    def on_configuration(self, configuration):
        """Forward a new configuration."""
        for owner in self.owners.values():
            owner.on_configuration(configuration)

    def on_settings(self):
        """Apply reloaded settings."""
        for owner in self.owners.values():
            if owner.cell is not None:
                owner.cell.context.bounds = self._daemon.settings.bounds
