"""InstanceEntry: hold an entry instance as the platform lists it."""

from attrs import frozen

from .instance_state import InstanceState

__all__ = ["InstanceEntry"]


@frozen(kw_only=True)
class InstanceEntry:
    """Hold an entry instance as the platform lists it."""

    name: str
    hall: str
    host: str
    peer_port: int
    http_port: int
    state: InstanceState
