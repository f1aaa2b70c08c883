"""The state that a hall's stream folds into."""

from .hall_state import HallState
from .open_attempt import OpenAttempt
from .task_state import TaskState

__all__ = ["HallState", "OpenAttempt", "TaskState"]
