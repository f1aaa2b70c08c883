"""The state that a hall's stream folds into."""

from attrs import Factory, define, frozen

from thymefork_core.model import Resources
from thymefork_core.reasons import Reason

from .entries import Ending

__all__ = ["HallState", "OpenAttempt", "TaskState"]


@frozen(kw_only=True)
class OpenAttempt:
    """Hold an attempt that may be running."""

    work_id: str
    task: int
    attempt: int
    worker: str
    resources: Resources
    team: str
    at_most_once: bool

    @property
    def attempt_id(self):
        """Name the attempt towards workers."""
        return f"{self.work_id}/{self.task}/{self.attempt}"


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


@define(kw_only=True)
class HallState:
    """Hold all that a hall's stream says, as far as it was read."""

    next_offset: int = 0
    owners: dict[str, str] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    last_seen: dict[str, int] = Factory(dict)
    successors: dict[str, str] = Factory(dict)
    held: dict[str, dict[str, int]] = Factory(dict)
    tasks: dict[str, dict[int, TaskState]] = Factory(dict)
    closed: dict[str, Reason] = Factory(dict)
