"""LogReset: tell that a stream ends before what was read of it."""

from attrs import frozen

from thymefork_core.log import Stream

__all__ = ["LogReset"]


@frozen(kw_only=True)
class LogReset:
    """Tell that a stream ends before what was read of it."""

    stream: Stream
