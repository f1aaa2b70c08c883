"""The name of one task of a piece of work."""

from typing import NamedTuple

__all__ = ["TaskKey"]


class TaskKey(NamedTuple):
    """Name one task."""

    work_id: str
    task: int
