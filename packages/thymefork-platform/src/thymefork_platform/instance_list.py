"""The platform's instance list as it is read."""

from attrs import frozen

from thymefork_core.membership import InstanceEntry, WorkerEntry

__all__ = ["InstanceList"]


@frozen(kw_only=True)
class InstanceList:
    """Hold one state of the list; without entries if the version is known."""

    version: int
    instances: tuple[InstanceEntry, ...] = ()
    workers: tuple[WorkerEntry, ...] = ()
