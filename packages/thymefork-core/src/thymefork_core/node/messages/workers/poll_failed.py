"""PollFailed: tell that a worker did not report."""

from attrs import frozen

__all__ = ["PollFailed"]


@frozen(kw_only=True)
class PollFailed:
    """Tell that a worker did not report."""

    worker: str
