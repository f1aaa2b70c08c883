"""AppendLost: tell that a record may have landed."""

from attrs import frozen

from thymefork_core.log import Stream

__all__ = ["AppendLost"]


@frozen(kw_only=True)
class AppendLost:
    """Tell that a record may have landed."""

    stream: Stream
    record_id: str
