"""The cells that this instance owns."""

from .owner import CellOwner

__all__ = ["OwnedCells"]


class OwnedCells:
    """Keep an owner for each cell that is dealt to this instance; `owners` maps them.

    What concerns all cells goes to their owners from here.
    """

    def __init__(self, *, daemon):
        self.owners = {}
        self._daemon = daemon

    def update(self):
        """Follow the deal: give up what is another's now, take over what is new."""
        if not self._daemon.layout.cells:
            return
        epochs = self._assigned_epochs()
        self._end_unassigned(epochs)
        if self._daemon.is_stopping:
            return
        self._daemon.worker_list.set_wanted(bool(epochs))
        for cell, epoch in epochs.items():
            if cell not in self.owners:
                owner = CellOwner(cell=cell, epoch=epoch, daemon=self._daemon)
                self.owners[cell] = owner
                owner.start()

    def _assigned_epochs(self):
        """Return the epoch of each cell whose partition is dealt to this instance."""
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
                owner.end("the cell was dealt to another instance")
                del self.owners[cell]
                self._daemon.peers.send_heartbeats()

    # From the owners ---------------------------------------------------------

    def on_ownership_lost(self, owner):
        """Drop a cell; a later generation of the group may bring it back."""
        if self.owners.get(owner.cell_index) is owner:
            del self.owners[owner.cell_index]
        partition = self._daemon.layout.partition_of(owner.cell_index)
        self._daemon.membership.drop_partition(partition, owner.epoch)

    def on_serving(self):
        """Tell the other instances at once."""
        self._daemon.peers.send_heartbeats()

    # To the owners -----------------------------------------------------------

    def on_peer_ownership(self, owned_cells):
        """Give up a cell that a peer serves under a later epoch."""
        for owned in owned_cells:
            owner = self.owners.get(owned.cell)
            if owner is not None and owned.epoch > owner.epoch:
                owner.drop_ownership(f"a peer owns it under epoch {owned.epoch}")

    def on_worker_list(self):
        """Take the platform's list of workers."""
        for owner in list(self.owners.values()):
            owner.on_worker_list()

    def on_configuration(self, configuration):
        """Take a newer configuration."""
        for owner in self.owners.values():
            owner.on_configuration(configuration)

    def on_settings(self):
        """Take the settings that were read again."""
        for owner in self.owners.values():
            if owner.cell is not None:
                owner.cell.context.bounds = self._daemon.settings.bounds
