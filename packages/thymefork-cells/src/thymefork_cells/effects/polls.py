"""Polls of workers, and effects of their reports."""

from attrs import frozen

from ..lease_notice import LeaseNotice
from ..reports import HeardEnd

__all__ = [
    "AnnounceEnds",
    "AnnounceLeases",
    "AnnounceSpeeds",
    "EndsStored",
    "OrphanedRun",
    "PollWorker",
]


@frozen(kw_only=True, eq=False)
class PollWorker:
    """Ask a worker for its running and ended runs.

    `wait_ms` is how long the worker may delay its answer until a run ends (long poll);
    `lease_ms` is how long all runs there may continue from now, 0 for no renewal.
    `last_end` is the highest stored end number. A quick poll is sent beside a waiting
    one, to learn the outcome of a command at once.
    """

    worker: object
    wait_ms: int
    lease_ms: float
    last_end: int
    quick: bool = False


@frozen(kw_only=True, eq=False)
class EndsStored:
    """Report that an append with a worker's run ends is stored."""

    worker: object
    last_end: int


@frozen(kw_only=True, eq=False)
class AnnounceEnds:
    """Announce run ends that can't be stored now to possible next owners."""

    ends: tuple[HeardEnd, ...]


@frozen(kw_only=True, eq=False)
class AnnounceLeases:
    """Announce what is promised about leases to possible next owners."""

    notice: LeaseNotice


@frozen(kw_only=True, eq=False)
class AnnounceSpeeds:
    """Announce learned machine speeds to possible next owners."""

    speeds: tuple


@frozen(kw_only=True, eq=False)
class OrphanedRun:
    """Identify a run that belongs to no job and has to be stopped."""

    worker: object
    key: tuple[str, int]
