"""TaskState: hold what the log says of one task."""

from attrs import define

from thymefork_core.reasons import Reason

from ..entries import Ending
from .open_attempt import OpenAttempt

__all__ = ["TaskState"]


@define(kw_only=True)
class TaskState:
    """Hold what the log says of one task.

    Units: `ended_at_offset` is the offset of the entry that settled it.
    """

    attempts: int = 0
    failures: int = 0
    open: OpenAttempt | None = None
    settled: bool = False
    ending: Ending | None = None
    exit_code: int = 0
    reason: Reason | None = None
    ran: bool = False
    ran_before: bool = False
    worker: str = ""
    ended_at_offset: int = -1
