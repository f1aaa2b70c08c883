"""Resources that an account's work in a cell needs."""

from copy import copy

from attrs import define

from ..state import AccountUsage

__all__ = ["AccountDemand"]


@define(kw_only=True, eq=False)
class AccountDemand:
    """Sum the resources of an account's runs and of its ready steps.

    `first_blocked` is the usage with which the first step blocked by the limit could
    start, None if no step is blocked; `since_ms` is when that step became ready.
    """

    wanted: AccountUsage
    first_blocked: AccountUsage | None = None
    since_ms: float = float("inf")

    def add(self, step, usage, left):
        """Add a step of which the limit allows `left` more tasks."""
        self.wanted.add(step.spec, len(step.waiting))
        required = step.spec.count if step.spec.gang else 1
        if left < required and self.first_blocked is None and step.waiting:
            self.first_blocked = copy(usage)
            self.first_blocked.add(step.spec, required)
            self.since_ms = step.ready_ms
