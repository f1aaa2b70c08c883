"""What is known of another entry instance."""

from enum import StrEnum

from attrs import Factory, define, frozen

from thymefork_core.model import Resources

__all__ = ["InstanceEntry", "InstanceState", "Member", "WorkerEntry"]


class InstanceState(StrEnum):
    """Name the states that the platform's instance list gives."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen(kw_only=True)
class InstanceEntry:
    """Hold an entry instance as the platform lists it."""

    name: str
    hall: str
    host: str
    peer_port: int
    http_port: int
    state: InstanceState


@frozen(kw_only=True)
class WorkerEntry:
    """Hold a worker as the platform lists it."""

    name: str
    hall: str
    host: str
    port: int
    state: InstanceState


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
