"""Isolation of a job that may crash workers."""

from attrs import frozen

__all__ = ["Isolation"]


@frozen(kw_only=True)
class Isolation:
    """Reserve a worker for the tasks of one job, until `until_ms` at the latest.

    Units: `until_ms` on the steady clock.
    """

    job: object
    until_ms: float
