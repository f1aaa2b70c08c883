"""The outcome of an outgoing call."""

from attrs import frozen

__all__ = ["HttpAnswer"]


@frozen(kw_only=True)
class HttpAnswer:
    """Hold the status and body of an answer, or status 0 and an error if none came.

    `sent` is false only if no byte of the request left this process.
    """

    status: int
    body: bytes = b""
    sent: bool = True
    error: str = ""

    @property
    def answered(self):
        """Return whether the peer answered."""
        return self.status != 0
