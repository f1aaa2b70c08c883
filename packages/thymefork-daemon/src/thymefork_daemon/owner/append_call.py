"""One call that is to store a batch."""

from attrs import frozen

__all__ = ["AppendCall"]


@frozen(kw_only=True)
class AppendCall:
    """Hold when a call was made.

    `follows` tells that all before its batch were known to be stored then, `is_repeat`
    that the batch had a call before.
    """

    sent_ms: float
    follows: bool
    is_repeat: bool
