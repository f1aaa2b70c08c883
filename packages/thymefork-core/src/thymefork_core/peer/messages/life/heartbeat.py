"""Heartbeat: tell that an instance lives, what it has free and what it knows."""

from attrs import frozen

from thymefork_core.model import Resources

__all__ = ["Heartbeat"]


@frozen(kw_only=True)
class Heartbeat:
    """Tell that an instance lives, what it has free and what it knows.

    Units: `echo` is the last `seq` heard from the receiver; `reserve_until_ms` is
    milliseconds since the epoch, and 0 without a reservation.
    """

    name: str
    hall: str
    incarnation: str
    seq: int
    echo: int
    config_version: int
    leaving: bool
    log_down: bool
    free: Resources
    largest_free: Resources
    free_slots: dict[str, int]
    fenced: tuple[str, ...]
    reserve_for: str = ""
    reserve_until_ms: int = 0
