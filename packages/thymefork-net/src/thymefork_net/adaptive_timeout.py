"""A timeout that adapts to how long recent answers took."""

__all__ = ["AdaptiveTimeout"]

# Factor by which each further answer lets the estimated answer time decay.
DECAY = 0.9


class AdaptiveTimeout:
    """Estimate how long to wait for an answer from the time that recent ones took.

    The timeout grows with each consecutive unanswered call, so that a network that
    has become slow does not keep timing out.
    Units: milliseconds.
    """

    def __init__(self, *, initial_ms, factor, min_ms, max_ms):
        self._answer_ms = initial_ms
        self._factor = factor
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._unanswered_in_row = 0

    def record_answer_time(self, elapsed_ms):
        """Record an answer; a slower one raises the estimate at once."""
        self._answer_ms = max(elapsed_ms, DECAY * self._answer_ms)
        self._unanswered_in_row = 0

    def record_unanswered(self):
        """Record a call that got no answer in time."""
        self._unanswered_in_row += 1

    @property
    def timeout_ms(self):
        """Return how long to wait for the next answer."""
        base_ms = max(self._min_ms, self._factor * self._answer_ms)
        return min(self._max_ms, base_ms * (1 + self._unanswered_in_row))
