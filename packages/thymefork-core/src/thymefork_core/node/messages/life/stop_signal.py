"""StopSignal: begin a planned stop."""

from attrs import frozen

__all__ = ["StopSignal"]


@frozen(kw_only=True)
class StopSignal:
    """Begin a planned stop."""
