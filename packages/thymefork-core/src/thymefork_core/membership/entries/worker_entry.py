"""WorkerEntry: hold a worker as the platform lists it."""

from attrs import frozen

from .instance_state import InstanceState

__all__ = ["WorkerEntry"]


@frozen(kw_only=True)
class WorkerEntry:
    """Hold a worker as the platform lists it."""

    name: str
    hall: str
    host: str
    port: int
    state: InstanceState
