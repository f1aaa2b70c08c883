"""StatusReport: hold the state of one instance."""

from attrs import frozen

from .member_line import MemberLine
from .worker_line import WorkerLine

__all__ = ["StatusReport"]


@frozen(kw_only=True)
class StatusReport:
    """Hold the state of one instance."""

    name: str
    hall: str
    incarnation: str
    ready: bool
    leaving: bool
    log_down: bool
    may_send: bool
    config_version: int
    config_author: str
    queued: int
    lookups_waiting: int
    requests_open: int
    members: tuple[MemberLine, ...]
    workers: tuple[WorkerLine, ...]
    owners: dict[str, str]
