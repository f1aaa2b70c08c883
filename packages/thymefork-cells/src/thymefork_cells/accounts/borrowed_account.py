"""One account whose parts a cell borrows."""

from attrs import define, field

from ..specs import LimitParts

__all__ = ["BorrowedAccount"]


@define(kw_only=True)
class BorrowedAccount:
    """Follow what was asked for, what is idle and what lenders ask back.

    `free` is what each lender could lend when it was last heard; `recalls` hold what
    lenders ask back, and until when. `is_covering` tells that the asks are for what
    runs already. Units: `*_ms` on the steady clock.
    """

    is_covering: bool = False
    rounds: int = 0
    due_ms: float = 0.0
    retry_interval_ms: float = 0.0
    requested: LimitParts = LimitParts()
    requested_ms: float = float("-inf")
    backoff_until_ms: float = 0.0
    unmet_since_ms: float | None = None
    idle: LimitParts | None = None
    idle_since_ms: float = 0.0
    free: dict = field(factory=dict)
    recalls: dict = field(factory=dict)
