"""The moment at which a message is handled, on both clocks."""

from attrs import frozen

__all__ = ["Instant"]


@frozen(kw_only=True)
class Instant:
    """Hold one moment, read by the daemon right before a message is handled.

    Units: milliseconds; `wall_ms` since the epoch, `mono_ms` since any fixed point.
    """

    wall_ms: int
    mono_ms: int
