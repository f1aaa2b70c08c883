"""Limits and times of a daemon, from its settings."""

from attrs import field, frozen, validators

__all__ = ["Limits"]

_positive = validators.ge(1)


@frozen(kw_only=True)
class Limits:
    """Hold each limit and time; the defaults suit the sizes of today.

    Units: as the suffixes say; the spans only ever compute a deadline.
    """

    lease_ms: int = field(default=2500, validator=_positive)
    grace_ms: int = field(default=700, validator=_positive)
    renew_every_ms: int = field(default=1000, validator=_positive)
    heartbeat_every_ms: int = field(default=600, validator=_positive)
    attempt_lease_ms: int = field(default=8000, validator=_positive)
    clock_skew_ms: int = field(default=500, validator=validators.ge(0))
    log_patience_ms: int = field(default=1500, validator=_positive)
    come_back_after_ms: int = field(default=1000, validator=_positive)
    fresh_ms: int = field(default=500, validator=validators.ge(0))
    work_window_ms: int = field(default=600_000, validator=_positive)
    queue_limit: int = field(default=20_000, validator=_positive)
    place_patience_ms: int = field(default=2000, validator=_positive)
    gang_hold_ms: int = field(default=1500, validator=_positive)
    starvation_ms: int = field(default=3000, validator=_positive)
    reserve_ms: int = field(default=8000, validator=_positive)
    settle_ms: int = field(default=3000, validator=_positive)
    poll_wait_ms: int = field(default=3000, validator=_positive)
    idle_poll_wait_ms: int = field(default=6000, validator=_positive)
    checkpoint_every_ms: int = field(default=30_000, validator=_positive)
