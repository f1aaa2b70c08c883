"""Member: hold the last heartbeat of an instance."""

from attrs import Factory, define

from thymefork_core.model import Resources

__all__ = ["Member"]


@define(kw_only=True)
class Member:
    """Hold the last heartbeat of an instance.

    Units: `heard_mono_ms` is on this instance's monotonic clock.
    """

    name: str
    hall: str
    incarnation: str
    heard_mono_ms: int
    config_version: int = 0
    leaving: bool = False
    log_down: bool = False
    free: Resources = Resources()
    largest_free: Resources = Resources()
    free_slots: dict[str, int] = Factory(dict)
    fenced: tuple[str, ...] = ()
