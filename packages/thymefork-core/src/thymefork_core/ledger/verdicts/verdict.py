"""Verdict: tell whether an entry counted, and what it changed."""

from attrs import frozen

from ..entries import Entry
from ..state import OpenAttempt
from .worker_moved import WorkerMoved

__all__ = ["Verdict"]


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
