"""Whose jobs go first once all is full: those within their account's share."""

__all__ = ["JobRateShares"]

# An account may send so much of its share at once, beyond an even flow, and still be
# within it: callers come in groups, and a short group takes nothing from anyone.
BURST_MS = 2_000.0


class JobRateShares:
    """Tell of each accepted job whether its account is within its share.

    The share is a rate of jobs, metered as cells are on leased lines: by the moment at
    which an even flow of the jobs so far would have come to its end. It costs the same
    for each job, however many accounts there are and jobs wait. Jobs beyond the share
    run in what the others leave, so an account that sends ten times its usual takes
    nothing from them, and nothing idles that somebody asked for.
    """

    def __init__(self, *, context):
        self._context = context
        self._even_until_ms = {}

    def admits(self, account_name, now_ms):
        """Note a job; tell whether it is within its account's share.

        What has no account, or one without a share, is within: nothing bounds it.
        """
        account = self._context.configuration.account(account_name)
        if account is None or not account.weight:
            return True
        interval_ms = 1000.0 * self._context.cell_count / account.weight
        even_until_ms = max(now_ms, self._even_until_ms.get(account_name, 0.0))
        if even_until_ms - now_ms > max(BURST_MS, interval_ms):
            return False
        self._even_until_ms[account_name] = even_until_ms + interval_ms
        return True
