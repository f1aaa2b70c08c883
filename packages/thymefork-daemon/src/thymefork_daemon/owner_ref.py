"""Whom a request was given to."""

from attrs import frozen

from thymefork_net import Address

__all__ = ["OwnerRef"]


@frozen(kw_only=True)
class OwnerRef:
    """Name one ownership of a cell; the epoch is None until it was heard.

    An instance that owns a cell anew is another holder at the same address: what its
    former ownership did not answer it does not know any more.
    """

    cell: int
    address: Address
    epoch: int | None

    def is_superseded_by(self, other):
        """Tell whether another ownership of the cell came after this one."""
        if self.epoch is None:
            return other.address != self.address
        return other.epoch > self.epoch
