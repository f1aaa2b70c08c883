"""How the operators want a queue's jobs to be run."""

from attrs import frozen

__all__ = ["AdvicePolicy", "QueuePolicy"]


@frozen(kw_only=True)
class AdvicePolicy:
    """Describe the cost of a call to the advice service.

    Units: milliseconds for the call, for each worker named, and of a ticket's life.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@frozen(kw_only=True)
class QueuePolicy:
    """Hold what the operators' configuration says of one queue.

    Units: milliseconds; `stretch` is a factor on a job's longest chain of work.
    Callers of a public queue need no key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 1000.0
    timeout_ms: float = 3000.0
    advice: AdvicePolicy | None = None
    is_public: bool = False
