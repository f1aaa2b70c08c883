"""SaveCheckpoint: append a checkpoint of a state to its stream."""

from attrs import frozen

from thymefork_core.log import Stream

__all__ = ["SaveCheckpoint"]


@frozen(kw_only=True)
class SaveCheckpoint:
    """Append a checkpoint of a state to its stream."""

    stream: Stream
    state: object
