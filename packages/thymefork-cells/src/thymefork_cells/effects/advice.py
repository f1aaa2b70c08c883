"""Calls to the advice service."""

from attrs import frozen

__all__ = ["RequestAdvice"]


@frozen(kw_only=True, eq=False)
class RequestAdvice:
    """Ask which of some workers may run a step.

    Units: `cost_ms` is how long the service works on the call, by its own figures.
    """

    step: object
    worker_ids: tuple[str, ...]
    cost_ms: float
    priority: int
