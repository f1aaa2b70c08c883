"""LogRead: bring records of a stream in order; `at_end` if none were left."""

from attrs import frozen

from thymefork_core.ledger import Record
from thymefork_core.log import Stream

__all__ = ["LogRead"]


@frozen(kw_only=True)
class LogRead:
    """Bring records of a stream in order; `at_end` if none were left."""

    stream: Stream
    records: tuple[Record, ...]
    began_mono_ms: int
    at_end: bool
