"""A lost or late request."""

from attrs import frozen

from .cause import Cause
from .outcome import Outcome

__all__ = ["Loss"]


@frozen(kw_only=True)
class Loss:
    """Hold a lost or late request; `at` is the timestamp of its first line."""

    job: str
    queue: str
    at: str
    outcome: Outcome
    cause: Cause

    def document(self):
        """Return the loss as a JSON object."""
        return {
            "job": self.job,
            "queue": self.queue,
            "at": self.at,
            "outcome": str(self.outcome),
            "cause": str(self.cause),
        }
