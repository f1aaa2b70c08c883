"""ReplyApplied: answer an apply: the version that won, and whether it was this one."""

from attrs import frozen

__all__ = ["ReplyApplied"]


@frozen(kw_only=True)
class ReplyApplied:
    """Answer an apply: the version that won, and whether it was this one."""

    request_id: str
    accepted: bool
    version: int
    author: str
    reason: str = ""
