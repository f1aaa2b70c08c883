"""A budget that keeps retries a small share of the traffic."""

from attrs import define

__all__ = ["RetryBudget"]


@define(kw_only=True)
class RetryBudget:
    """Earn a part of a retry with each request; spend one with each retry."""

    share: float = 0.1
    most: float = 10.0
    tokens: float = 10.0

    def earn(self):
        """Note a first try."""
        self.tokens = min(self.most, self.tokens + self.share)

    def spend(self):
        """Take one retry out of the budget, if it holds one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
