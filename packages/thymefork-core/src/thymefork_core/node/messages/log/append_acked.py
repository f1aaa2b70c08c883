"""AppendAcked: tell that a record landed."""

from attrs import frozen

from thymefork_core.log import Stream

__all__ = ["AppendAcked"]


@frozen(kw_only=True)
class AppendAcked:
    """Tell that a record landed."""

    stream: Stream
    record_id: str
