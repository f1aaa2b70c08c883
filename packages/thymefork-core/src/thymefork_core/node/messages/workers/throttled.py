"""Throttled: tell whether a worker slowed an attempt down."""

from attrs import frozen

__all__ = ["Throttled"]


@frozen(kw_only=True)
class Throttled:
    """Tell whether a worker slowed an attempt down."""

    worker: str
    attempt_id: str
    cpu_milli: int
    done: bool
