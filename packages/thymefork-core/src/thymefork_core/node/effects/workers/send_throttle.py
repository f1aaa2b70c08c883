"""SendThrottle: tell a worker to slow an attempt down to fewer processors."""

from attrs import frozen

__all__ = ["SendThrottle"]


@frozen(kw_only=True)
class SendThrottle:
    """Tell a worker to slow an attempt down to fewer processors."""

    worker: str
    epoch: int
    attempt_id: str
    cpu_milli: int
