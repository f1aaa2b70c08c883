"""JoinReply: tell the final answer of a piece of work."""

from attrs import frozen

from thymefork_core.model import Answer

__all__ = ["JoinReply"]


@frozen(kw_only=True)
class JoinReply:
    """Tell the final answer of a piece of work."""

    answer: Answer
