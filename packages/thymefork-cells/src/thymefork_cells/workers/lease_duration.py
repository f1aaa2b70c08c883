"""How long leases last, by the owner's clock and by the workers'."""

from ..state.worker import MAX_CLOCK_DRIFT

__all__ = [
    "LEASE_MARGIN_MS",
    "LEASE_MS",
    "SHORT_LEASE_MS",
    "lease_ms_for",
    "max_lease_duration_ms",
]

# Runs may continue this long after the last poll was sent. It covers a takeover; tasks
# of a silent worker have to wait for its end.
LEASE_MS = 3_000.0
# The same at a worker that is about to leave, whose runs end with it anyway: a next
# owner that can't ask it any more soon starts its tasks elsewhere. It outlasts one
# unanswered poll.
SHORT_LEASE_MS = 1_200.0
# Allowance for the time that answers take.
LEASE_MARGIN_MS = 60.0


def lease_ms_for(worker):
    """Return how long the leases last that this owner gives to a worker."""
    return SHORT_LEASE_MS if worker.has_short_leases else LEASE_MS


def max_lease_duration_ms(lease_ms):
    """Return how long a lease lasts at most when measured by a worker's clock."""
    return lease_ms * (1.0 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
