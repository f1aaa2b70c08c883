"""WorkerMoved: tell that a worker has a new owner."""

from attrs import frozen

__all__ = ["WorkerMoved"]


@frozen(kw_only=True)
class WorkerMoved:
    """Tell that a worker has a new owner."""

    worker: str
    before: str
    after: str
