"""One request that fell short."""

from attrs import frozen

from .cause import Cause
from .outcome import Outcome

__all__ = ["Loss"]


@frozen(kw_only=True)
class Loss:
    """Hold a request that fell short; `at` is its first line's time of day."""

    job: str
    queue: str
    at: str
    outcome: Outcome
    cause: Cause

    def document(self):
        """Return the loss as one JSON object."""
        return {
            "job": self.job,
            "queue": self.queue,
            "at": self.at,
            "outcome": str(self.outcome),
            "cause": str(self.cause),
        }
