"""Meter job arrivals against the accounts' guaranteed job rates."""

__all__ = ["JobRateShares"]

# Burst that an account may send ahead of its guaranteed rate.
BURST_MS = 2_000.0


class JobRateShares:
    """Classify accepted jobs as within or beyond their account's job rate share.

    Uses the generic cell rate algorithm (GCRA): constant cost per job. Jobs beyond the
    share run only on capacity that the others leave, so a flood from one account does
    not slow down the accounts that keep to their share.
    """

    def __init__(self, *, context):
        self._context = context
        self._arrivals_ms = {}

    def admits(self, account_name, now_ms):
        """Count a job, and return whether it is within its account's share.

        Jobs without an account, or whose account has no share, are always within.
        """
        account = self._context.account_policy(account_name)
        if account is None or not account.weight:
            return True
        interval_ms = 1000.0 * self._context.cell_count / account.weight
        arrival_ms = max(now_ms, self._arrivals_ms.get(account_name, 0.0))
        if arrival_ms - now_ms > max(BURST_MS, interval_ms):
            return False
        self._arrivals_ms[account_name] = arrival_ms + interval_ms
        return True
