"""What a reader of the hall's stream learns from an entry."""

from attrs import frozen

from .entries import Entry
from .state import OpenAttempt

__all__ = ["Verdict", "WorkerMoved"]


@frozen(kw_only=True)
class WorkerMoved:
    """Tell that a worker has a new owner."""

    worker: str
    before: str
    after: str


@frozen(kw_only=True)
class Verdict:
    """Tell whether an entry counted, and what it changed."""

    author: str
    entry: Entry
    valid: bool
    offset: int
    record_id: str
    moved: tuple[WorkerMoved, ...] = ()
    attempt: OpenAttempt | None = None
