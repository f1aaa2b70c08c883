"""TaskLine: hold what the log says of one task."""

from attrs import frozen

from .attempt_line import AttemptLine

__all__ = ["TaskLine"]


@frozen(kw_only=True)
class TaskLine:
    """Hold what the log says of one task."""

    task: int
    attempts: int
    settled: bool
    ending: str
    reason: str
    worker: str
    open: AttemptLine | None
