"""What an owner promises about its leases, for the next owners of its cell."""

from attrs import frozen

__all__ = ["LeaseNotice", "LeavingWorker", "OwnerEnd"]


@frozen(kw_only=True)
class LeavingWorker:
    """A worker that is about to leave and gets only short leases from now on.

    `born_epoch_ms` identifies its incarnation, 0 if unknown. All longer leases, also of
    earlier owners, end by `long_leases_until_ms`.

    Units: `long_leases_until_ms` on the steady clock.
    """

    worker_id: str
    born_epoch_ms: int
    long_leases_until_ms: float


@frozen(kw_only=True)
class OwnerEnd:
    """The end of an ownership, after which its owner renews no lease.

    `has_served` tells whether it may have given any. The leases of earlier owners end
    by `earlier_leases_until_ms`.

    Units: `*_ms` on the steady clock.
    """

    ended_ms: float
    has_served: bool
    earlier_leases_until_ms: float


@frozen(kw_only=True)
class LeaseNotice:
    """Announce what the owner under an epoch promises about its leases."""

    epoch: int
    leaving: tuple[LeavingWorker, ...] = ()
    end: OwnerEnd | None = None
