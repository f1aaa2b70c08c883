"""HallState: hold all that a hall's stream says, as far as it was read."""

from attrs import Factory, define

from thymefork_core.reasons import Reason

from .task_state import TaskState

__all__ = ["HallState"]


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
