"""Where the owners of cells are reached: on this instance or by a link."""

from .owner_ref import OwnerRef

__all__ = ["OwnerRoutes"]


class OwnerRoutes:
    """Find a cell's owner; have the directory look again where none is reached."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def local_owner(self, cell):
        """Return the owner on this instance, None unless it serves the cell."""
        owner = self._daemon.owners.get(cell)
        return owner if owner is not None and owner.is_serving else None

    def link_to(self, cell):
        """Return a link to the instance that owns a cell, None if none is known."""
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
        """Return what a request to an owner on this instance is given to."""
        own = self._daemon.settings.peer
        return OwnerRef(cell=cell, address=own, epoch=owner.epoch)

    def remote_ref(self, cell, link):
        """Return what a request that is sent on a link is given to."""
        epoch = self._daemon.directory.epoch_of(cell)
        return OwnerRef(cell=cell, address=link.address, epoch=epoch)

    def forget(self, cell, link):
        """Take note that no owner of a cell was reached on a link, None for here."""
        if link is None:
            self._daemon.directory.refresh()
        else:
            self._daemon.directory.forget(cell, link.address)
