"""Routes to the owners of cells, on this instance or over a link."""

from .owner_ref import OwnerRef

__all__ = ["OwnerRoutes"]


class OwnerRoutes:
    """Look up a cell's owner; refresh the directory where none can be reached."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def local_owner(self, cell):
        """Return the owner on this instance, None unless it serves the cell."""
        owner = self._daemon.owners.get(cell)
        return owner if owner is not None and owner.is_serving else None

    def link_to(self, cell):
        """Return a link to the instance that owns a cell, None if unknown."""
        directory = self._daemon.directory
        address = directory.owner_of(cell)
        if address is None or address == self._daemon.settings.peer:
            directory.refresh()
            return None
        link = self._daemon.links.open_link(address)
        if link is None:
            directory.forget(cell, address)
        return link

    def local_ref(self, cell, owner):
        """Return a reference to an owner on this instance."""
        own = self._daemon.settings.peer
        return OwnerRef(cell=cell, address=own, epoch=owner.epoch)

    def remote_ref(self, cell, link):
        """Return a reference to the owner that a link leads to."""
        epoch = self._daemon.directory.epoch_of(cell)
        return OwnerRef(cell=cell, address=link.address, epoch=epoch)

    def forget(self, cell, link):
        """Record that no owner was reached on a link, or here if it is None."""
        if link is None:
            self._daemon.directory.refresh()
        else:
            self._daemon.directory.forget(cell, link.address)
