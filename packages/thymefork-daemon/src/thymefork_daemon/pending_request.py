"""A caller's request on its way to the owner of its cell."""

from attrs import define

from .request_holder import RequestHolder

__all__ = ["PendingRequest"]


@define(kw_only=True, eq=False)
class PendingRequest:
    """Follow one request; `tries` counts the owners that may have taken it.

    The `holder` is the ownership that is expected to answer, None while one is looked
    for.
    """

    kind: str
    queue: str
    job_id: str
    data: bytes
    cell: int
    respond: object
    find_until_ms: float
    deadline_ms: float
    account_name: str = ""
    link: object = None
    holder: RequestHolder | None = None
    tries: int = 0
    timer_id: int = 0

    def belongs_to(self, owner):
        """Tell whether an ownership, the newest that is known, has yet to get this."""
        if self.cell != owner.cell:
            return False
        return self.holder is None or self.holder.gives_way_to(owner)

    def note_epoch(self, owner):
        """Take note under which epoch the holder owns the cell, once that is heard."""
        holder = self.holder
        if holder is not None and holder.epoch is None:
            if (holder.cell, holder.address) == (owner.cell, owner.address):
                self.holder = owner
