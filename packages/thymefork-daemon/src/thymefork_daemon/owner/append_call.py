"""One call to the store that appends a batch."""

from attrs import frozen

__all__ = ["AppendCall"]


@frozen(kw_only=True)
class AppendCall:
    """Hold when a call was sent, and the state of its batch at that time.

    `was_head` is true if all earlier batches were known to be stored, `is_repeat` if
    another call for the batch had been sent before.
    """

    sent_ms: float
    was_head: bool
    is_repeat: bool
