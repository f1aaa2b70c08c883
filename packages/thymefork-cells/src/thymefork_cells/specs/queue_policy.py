"""Configuration of a queue."""

from attrs import frozen

__all__ = ["AdvicePolicy", "QueuePolicy"]


@frozen(kw_only=True)
class AdvicePolicy:
    """Cost of a call to the advice service, and validity of its tickets.

    Units: milliseconds.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@frozen(kw_only=True)
class QueuePolicy:
    """Configuration of one queue.

    A job's latency objective is `target_latency_ms` plus `stretch` times its critical
    path. Callers of a public queue need no API key.

    Units: milliseconds.
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
