"""Looks at workers, and what follows from them."""

from attrs import frozen

from ..reports import HeardEnd

__all__ = ["AnnounceEnds", "AnnounceSpeeds", "EndsStored", "OrphanedRun", "PollWorker"]


@frozen(kw_only=True, eq=False)
class PollWorker:
    """Ask a worker what runs and what has ended.

    Units: `wait_ms` is how long the worker may hold its answer until a run ends;
    `lease_ms` how long from now everything there may go on, 0 for no change.
    `last_end` is the highest end that is stored. A quick look goes beside one that
    waits, to learn at once what became of an order.
    """

    worker: object
    wait_ms: int
    lease_ms: float
    last_end: int
    quick: bool = False


@frozen(kw_only=True, eq=False)
class EndsStored:
    """Follow an append that holds a worker's ends."""

    worker: object
    last_end: int


@frozen(kw_only=True, eq=False)
class AnnounceEnds:
    """Tell those who may own the cell next of ends that can't be stored now."""

    ends: tuple[HeardEnd, ...]


@frozen(kw_only=True, eq=False)
class AnnounceSpeeds:
    """Tell those who may own the cell next how fast machines have turned out."""

    speeds: tuple


@frozen(kw_only=True, eq=False)
class OrphanedRun:
    """Name a run that belongs to no job; it is stopped where it is seen."""

    worker: object
    key: tuple[str, int]
