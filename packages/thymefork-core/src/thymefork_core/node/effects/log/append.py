"""Append: send a record to the log."""

from attrs import frozen

from thymefork_core.log import Batch, Stream

__all__ = ["Append"]


@frozen(kw_only=True)
class Append:
    """Send a record to the log."""

    stream: Stream
    batch: Batch
