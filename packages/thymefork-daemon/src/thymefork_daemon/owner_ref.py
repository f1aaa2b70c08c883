"""Reference to one ownership of a cell."""

from attrs import frozen

from thymefork_net import Address

__all__ = ["OwnerRef"]


@frozen(kw_only=True)
class OwnerRef:
    """Identify one ownership of a cell; the epoch is None until it is known.

    An instance that owns a cell again has another epoch at the same address, and
    knows nothing of the requests that its former ownership left unanswered.
    """

    cell: int
    address: Address
    epoch: int | None

    def is_superseded_by(self, other):
        """Return whether another ownership of the cell is later than this one."""
        if self.epoch is None:
            return other.address != self.address
        return other.epoch > self.epoch
