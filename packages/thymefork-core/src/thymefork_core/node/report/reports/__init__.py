"""What operators read."""

from .attempt_line import AttemptLine
from .member_line import MemberLine
from .status_report import StatusReport
from .task_line import TaskLine
from .work_report import WorkReport
from .worker_line import WorkerLine

__all__ = [
    "AttemptLine",
    "MemberLine",
    "StatusReport",
    "TaskLine",
    "WorkReport",
    "WorkerLine",
]
