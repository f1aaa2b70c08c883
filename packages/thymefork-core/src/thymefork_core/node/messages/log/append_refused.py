"""AppendRefused: tell that a record surely did not land."""

from attrs import frozen

from thymefork_core.log import Stream

__all__ = ["AppendRefused"]


@frozen(kw_only=True)
class AppendRefused:
    """Tell that a record surely did not land."""

    stream: Stream
    record_id: str
