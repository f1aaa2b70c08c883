"""PollWorker: renew the leases of a worker's attempts and ask for its report."""

from attrs import frozen

__all__ = ["PollWorker"]


@frozen(kw_only=True)
class PollWorker:
    """Renew the leases of a worker's attempts and ask for its report."""

    worker: str
    epoch: int
    lease_until_ms: int
    forget: tuple[str, ...]
    wait_ms: int
