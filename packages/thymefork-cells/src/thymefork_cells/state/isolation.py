"""A worker on which a task is tried that may crash it."""

from attrs import frozen

__all__ = ["Isolation"]


@frozen(kw_only=True)
class Isolation:
    """Hold the job whose tasks alone a worker takes, and until when at the latest.

    Units: `until_ms` on the steady clock.
    """

    job: object
    until_ms: float
