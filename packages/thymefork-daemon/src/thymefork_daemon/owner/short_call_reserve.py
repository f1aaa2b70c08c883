"""How many instances are kept from long calls to the advice service."""

from math import ceil

__all__ = ["ShortCallReserve"]

# At most this share of the instances is kept for short calls, and until it was seen how
# many there are.
MOST_SHARE = 0.3
# So many times as many as were under way at once are kept, and one more, so that a
# group of short calls finds some at once.
HEADROOM = 2
# What was under way at once counts for this long.
MEMORY_MS = 5_000.0


class ShortCallReserve:
    """Keep as many instances for short calls as those have needed of late.

    Where long calls come without a pause, a fixed share leaves instances idle that
    they could use, and steps wait for their tickets for seconds: of 29 instances nine
    were kept, of which fewer than two had a short call under way (an owner's log).
    """

    def __init__(self, *, now_ms):
        self._most_at_once = None
        self._seen_ms = now_ms

    def note(self, under_way, now_ms):
        """Note how many short calls are under way."""
        is_old = now_ms - self._seen_ms > MEMORY_MS
        is_most = self._most_at_once is not None and under_way >= self._most_at_once
        if is_old or is_most:
            self._most_at_once, self._seen_ms = under_way, now_ms

    def size(self, instances):
        """Return how many of some instances take short calls only."""
        most = max(1, ceil(MOST_SHARE * instances))
        if self._most_at_once is None:
            return most
        return min(most, HEADROOM * self._most_at_once + 1)
