"""A caller's request on its way to the owner of its cell."""

from attrs import define, field

from thymefork_net import steady_ms

from .owner_ref import OwnerRef
from .request_attempts import RequestAttempts

__all__ = ["PendingRequest"]


@define(kw_only=True, eq=False)
class PendingRequest:
    """Track one request; `open_attempts` holds the owners that may have received it.

    `earlier_call_ids` are the ids under which it was sent before its present one. The
    `target` is the ownership that is expected to answer, None while one is looked for.
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
    target: OwnerRef | None = None
    open_attempts: RequestAttempts = field(factory=RequestAttempts)
    earlier_call_ids: list = field(factory=list)
    timer_id: int = 0

    def left_ms(self):
        """Return for how long the caller still waits."""
        return max(0.0, self.deadline_ms - steady_ms())

    @property
    def is_outcome_unknown(self):
        """Return whether an owner may have executed it or may still do so."""
        return self.kind in ("submit", "cancel") and bool(self.open_attempts)

    def needs_resend_to(self, owner):
        """Return whether the cell's latest ownership has yet to get this request."""
        if self.cell != owner.cell:
            return False
        return self.target is None or self.target.is_superseded_by(owner)

    def update_epoch(self, owner):
        """Complete the target's epoch once it is known."""
        target = self.target
        if target is not None and target.epoch is None:
            if (target.cell, target.address) == (owner.cell, owner.address):
                self.target = owner
