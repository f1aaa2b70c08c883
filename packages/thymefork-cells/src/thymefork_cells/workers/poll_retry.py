"""Choose when to poll a worker again that did not answer."""

__all__ = ["poll_retry_delay_ms"]

# Bounds of the backoff after unanswered polls; it keeps the polls to a hall that is cut
# off few.
MIN_POLL_RETRY_DELAY_MS = 150.0
MAX_POLL_RETRY_DELAY_MS = 400.0
# The delay for a worker to which an unanswered start may be on its way: its next
# incarnation carries that out unless it has answered a poll before.
WATCHED_RETRY_DELAY_MS = 20.0


def poll_retry_delay_ms(worker, now_ms):
    """Return how long to wait after the latest unanswered poll of a worker."""
    if worker.is_watched(now_ms):
        return WATCHED_RETRY_DELAY_MS
    backoff_ms = MIN_POLL_RETRY_DELAY_MS * worker.unanswered_in_row
    return min(MAX_POLL_RETRY_DELAY_MS, backoff_ms)
