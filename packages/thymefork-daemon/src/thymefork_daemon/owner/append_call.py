"""One call to the store that appends a batch."""

from attrs import frozen

__all__ = ["AppendCall"]


@frozen(kw_only=True)
class AppendCall:
    """Hold when a call was sent, and the state of its batch at that time.

    `was_head` is true if the batch was the head of the queue, that is, all earlier ones
    were stored; `is_repeat` if another call for the batch had been sent before.
    """

    sent_ms: float
    was_head: bool
    is_repeat: bool
