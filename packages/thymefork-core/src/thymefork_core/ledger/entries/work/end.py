"""End: tell how an attempt ended, once the worker has confirmed it."""

from attrs import frozen

from .ending import Ending

__all__ = ["End"]


@frozen(kw_only=True)
class End:
    """Tell how an attempt ended, once the worker has confirmed it."""

    work_id: str
    task: int
    attempt: int
    ending: Ending
    exit_code: int = 0
