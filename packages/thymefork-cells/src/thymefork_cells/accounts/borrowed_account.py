"""Borrowing state of one account in a cell."""

from attrs import define, field

from ..specs import LimitParts

__all__ = ["BorrowedAccount"]


@define(kw_only=True)
class BorrowedAccount:
    """Track requested, idle and recalled parts of one account.

    `free` maps lenders to the parts that they last reported as available; `recalls`
    maps them to the recalled parts and the recall's expiry. `is_covering` is true while
    the requests are for parts of runs that already exist.

    Units: `*_ms` on the steady clock.
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
