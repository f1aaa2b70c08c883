"""A caller's request on its way to the owner of its cell."""

from attrs import define, field

from thymefork_net import steady_ms

from .request_holder import RequestHolder
from .request_tries import RequestTries

__all__ = ["PendingRequest"]


@define(kw_only=True, eq=False)
class PendingRequest:
    """Follow one request; `tries` holds the owners that may have taken it.

    `earlier_numbers` are those that it was sent under before its present one. The
    `holder` is the ownership that is expected to answer, None while one is looked
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
    tries: RequestTries = field(factory=RequestTries)
    earlier_numbers: list = field(factory=list)
    timer_id: int = 0

    def left_ms(self):
        """Return for how long its caller still waits."""
        return max(0.0, self.deadline_ms - steady_ms())

    @property
    def is_in_doubt(self):
        """Tell whether an owner may have carried it out, or may yet."""
        return self.kind in ("submit", "cancel") and bool(self.tries)

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
