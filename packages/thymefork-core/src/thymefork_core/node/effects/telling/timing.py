"""Timing: record a timer."""

from attrs import frozen

__all__ = ["Timing"]


@frozen(kw_only=True)
class Timing:
    """Record a timer.

    Units: `value_ms` is a measured span.
    """

    name: str
    value_ms: float
