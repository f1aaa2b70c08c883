"""Join: ask to be told the final answer of a piece of work."""

from attrs import frozen

__all__ = ["Join"]


@frozen(kw_only=True)
class Join:
    """Ask to be told the final answer of a piece of work."""

    work_id: str
    cancel: bool = False
