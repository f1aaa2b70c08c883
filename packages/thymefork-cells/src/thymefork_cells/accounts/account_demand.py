"""What an account's work in a cell asks for."""

from copy import copy

from attrs import define

from ..state import AccountUsage

__all__ = ["AccountDemand"]


@define(kw_only=True, eq=False)
class AccountDemand:
    """Add up the room of an account's runs and of its work whose turn has come.

    `first_blocked` is the room with which the first step that its limit holds back could begin,
    None if it holds back none; `since_ms` is when the turn of that step came.
    """

    wanted: AccountUsage
    first_blocked: AccountUsage | None = None
    since_ms: float = float("inf")

    def add(self, step, usage, left):
        """Add a step, of which its account may start so many beside what it runs."""
        self.wanted.add(step.spec, len(step.waiting))
        begins = step.spec.count if step.spec.gang else 1
        if left < begins and self.first_blocked is None and step.waiting:
            self.first_blocked = copy(usage)
            self.first_blocked.add(step.spec, begins)
            self.since_ms = step.ready_ms
