"""Free slots for calls to the advice service."""

from attrs import define

__all__ = ["LONG_CALL_MS", "AdviceSlots"]

# Calls that cost more than this go only to some of the instances, so that a short call
# always finds an instance without a long one.
LONG_CALL_MS = 150.0


@define(kw_only=True)
class AdviceSlots:
    """Count the instances that can make a call now.

    `free_slots` counts all of them, `free_long_call_slots` those that also accept long
    calls.
    """

    free_slots: int
    free_long_call_slots: int

    def has_capacity(self, cost_ms):
        """Return whether an instance is free for a call of this cost."""
        if self.free_slots <= 0:
            return False
        return cost_ms <= LONG_CALL_MS or self.free_long_call_slots > 0

    def take(self, cost_ms):
        """Take a slot for a call; return whether one was free."""
        if not self.has_capacity(cost_ms):
            return False
        is_long = cost_ms > LONG_CALL_MS
        self.free_slots -= 1
        self.free_long_call_slots = min(
            self.free_long_call_slots - is_long, self.free_slots
        )
        return True
