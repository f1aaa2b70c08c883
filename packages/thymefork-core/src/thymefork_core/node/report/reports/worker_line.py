"""WorkerLine: hold one owned worker."""

from attrs import frozen

from thymefork_core.model import Resources

__all__ = ["WorkerLine"]


@frozen(kw_only=True)
class WorkerLine:
    """Hold one owned worker."""

    name: str
    free: Resources
    free_slots: int
    streams: int
    held_connections: int
    running: int
    open_for_work: bool
    quarantined: bool
