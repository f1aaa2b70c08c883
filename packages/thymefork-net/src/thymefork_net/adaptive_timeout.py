"""How long to wait for an answer, by how long answers take."""

__all__ = ["AdaptiveTimeout"]

# The pace follows a slower answer at once and forgets it by this factor an answer, so
# that one slow answer is forgotten after some twenty.
DECAY = 0.9


class AdaptiveTimeout:
    """Follow the times of answers; tell when a call counts as unanswered.

    While calls go unanswered one after the other, the patience grows with each, so
    that a network which has turned slow is not mistaken for silence for good.
    Units: milliseconds.
    """

    def __init__(self, *, initial_ms, factor, min_ms, max_ms):
        self._answer_ms = initial_ms
        self._factor = factor
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._unanswered_in_row = 0

    def record_answer_time(self, elapsed_ms):
        """Note an answer."""
        self._answer_ms = max(elapsed_ms, DECAY * self._answer_ms)
        self._unanswered_in_row = 0

    def record_unanswered(self):
        """Note a call without an answer."""
        self._unanswered_in_row += 1

    @property
    def patience_ms(self):
        """Return how long to wait for the next answer."""
        base_ms = max(self._min_ms, self._factor * self._answer_ms)
        return min(self._max_ms, base_ms * (1 + self._unanswered_in_row))
