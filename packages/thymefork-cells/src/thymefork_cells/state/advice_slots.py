"""How many calls to the advice service can be made at once."""

from attrs import define

__all__ = ["LONG_CALL_MS", "AdviceSlots"]

# Calls that cost more than this are long: they go to some of the instances only, so
# that a short call never waits behind one everywhere.
LONG_CALL_MS = 150.0


@define(kw_only=True)
class AdviceSlots:
    """Count the instances that are free for a call now.

    `any_call` counts all of them, `long_call` those that take long calls, too.
    """

    any_call: int
    long_call: int

    def has_capacity(self, cost_ms):
        """Tell whether an instance is free for a call that costs so much."""
        if self.any_call <= 0:
            return False
        return cost_ms <= LONG_CALL_MS or self.long_call > 0

    def take(self, cost_ms):
        """Take an instance for a call; tell whether there was one."""
        if not self.has_capacity(cost_ms):
            return False
        is_long = cost_ms > LONG_CALL_MS
        self.any_call -= 1
        self.long_call = min(self.long_call - is_long, self.any_call)
        return True
