"""WorkReport: hold one piece of work: where it is and what it waits for."""

from attrs import frozen

from .task_line import TaskLine

__all__ = ["WorkReport"]


@frozen(kw_only=True)
class WorkReport:
    """Hold one piece of work: where it is and what it waits for."""

    work_id: str
    known: bool
    hall: str = ""
    home: str = ""
    state: str = ""
    waits_for: str = ""
    tasks: tuple[TaskLine, ...] = ()
