"""LogFailed: tell that a read of the log failed."""

from attrs import frozen

__all__ = ["LogFailed"]


@frozen(kw_only=True)
class LogFailed:
    """Tell that a read of the log failed."""
