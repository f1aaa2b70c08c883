"""Entries of the log's records; one record carries many of them."""

from enum import StrEnum

from attrs import frozen

from thymefork_core.model import Resources, WorkSpec
from thymefork_core.reasons import Reason

__all__ = [
    "Accept",
    "Claim",
    "Close",
    "End",
    "Ending",
    "Entry",
    "Handover",
    "Held",
    "Record",
    "Renew",
    "Resign",
    "Start",
    "Take",
]


class Ending(StrEnum):
    """Name how an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    NOT_SENT = "not_sent"
    PREEMPTED = "preempted"
    STOPPED = "stopped"


@frozen(kw_only=True)
class Renew:
    """Renew the author's lease on all that it owns."""


@frozen(kw_only=True)
class Take:
    """Take a worker that nobody owns."""

    worker: str


@frozen(kw_only=True)
class Handover:
    """Hand a worker over, less the connections that open streams still hold."""

    worker: str
    to: str
    held_connections: int = 0


@frozen(kw_only=True)
class Held:
    """Tell how many connections the author still holds at a worker."""

    worker: str
    connections: int


@frozen(kw_only=True)
class Claim:
    """Claim all that a silent instance owned; void if it has written since."""

    victim: str
    seen_offset: int


@frozen(kw_only=True)
class Resign:
    """Hand the author's accepted work over before a planned stop."""

    to: str


@frozen(kw_only=True)
class Start:
    """Announce a start before it is sent."""

    work_id: str
    task: int
    attempt: int
    worker: str
    resources: Resources
    team: str
    at_most_once: bool


@frozen(kw_only=True)
class End:
    """Tell how an attempt ended, once the worker has confirmed it."""

    work_id: str
    task: int
    attempt: int
    ending: Ending
    exit_code: int = 0


@frozen(kw_only=True)
class Close:
    """Forbid any further start of a piece of work."""

    work_id: str
    tasks: int
    reason: Reason


@frozen(kw_only=True)
class Accept:
    """Accept a piece of work; the author is its home."""

    hall: str
    spec: WorkSpec


Entry = Renew | Take | Handover | Held | Claim | Resign | Start | End | Close | Accept


@frozen(kw_only=True)
class Record:
    """Hold one record of the log as it was read.

    Units: `offset` counts records of the stream.
    """

    offset: int
    record_id: str
    author: str
    entries: tuple[Entry, ...]
