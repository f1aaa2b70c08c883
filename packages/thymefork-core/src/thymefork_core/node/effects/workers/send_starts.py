"""SendStarts: tell a worker to start attempts under a lease."""

from attrs import frozen

from .start_order import StartOrder

__all__ = ["SendStarts"]


@frozen(kw_only=True)
class SendStarts:
    """Tell a worker to start attempts under a lease.

    Units: `lease_until_ms` is milliseconds since the epoch, `send_before_mono_ms`
    is on the monotonic clock: not sent by then, it must not be sent.
    """

    worker: str
    epoch: int
    orders: tuple[StartOrder, ...]
    lease_until_ms: int
    send_before_mono_ms: int
