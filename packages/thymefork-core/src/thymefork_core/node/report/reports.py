"""What operators read."""

from attrs import frozen

from thymefork_core.model import Resources

__all__ = [
    "AttemptLine",
    "MemberLine",
    "StatusReport",
    "TaskLine",
    "WorkReport",
    "WorkerLine",
]


@frozen(kw_only=True)
class MemberLine:
    """Hold one instance as this one sees it."""

    name: str
    hall: str
    live: bool
    leaving: bool
    log_down: bool
    config_version: int


@frozen(kw_only=True)
class WorkerLine:
    """Hold one owned worker."""

    name: str
    free: Resources
    free_slots: int
    streams: int
    held_connections: int
    running: int
    open_for_work: bool
    quarantined: bool


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


@frozen(kw_only=True)
class AttemptLine:
    """Hold an attempt that may be running."""

    attempt_id: str
    worker: str
    owner: str


@frozen(kw_only=True)
class TaskLine:
    """Hold what the log says of one task."""

    task: int
    attempts: int
    settled: bool
    ending: str
    reason: str
    worker: str
    open: AttemptLine | None


@frozen(kw_only=True)
class WorkReport:
    """Hold one piece of work: where it is and what it waits for."""

    work_id: str
    known: bool
    hall: str = ""
    home: str = ""
    state: str = ""
    waits_for: str = ""
    tasks: tuple[TaskLine, ...] = ()
