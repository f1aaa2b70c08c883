"""Calls to the advice service."""

from attrs import frozen

__all__ = ["RequestAdvice"]


@frozen(kw_only=True, eq=False)
class RequestAdvice:
    """Ask the advice service which of some workers may run a step.

    `cost_ms` is the processing time of the call according to the queue's policy.
    """

    step: object
    worker_ids: tuple[str, ...]
    cost_ms: float
    priority: int
