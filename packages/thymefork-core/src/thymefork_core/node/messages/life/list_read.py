"""ListRead: bring a new state of the platform's instance list."""

from attrs import frozen

from thymefork_core.membership import InstanceEntry, WorkerEntry

__all__ = ["ListRead"]


@frozen(kw_only=True)
class ListRead:
    """Bring a new state of the platform's instance list."""

    instances: tuple[InstanceEntry, ...]
    workers: tuple[WorkerEntry, ...]
