"""Time limits set by the deployment."""

from attrs import frozen

__all__ = ["Bounds"]


@frozen(kw_only=True)
class Bounds:
    """Time limits that decisions depend on.

    A gang member waits `gang_wait_ms` for the others and then ends. The tasks of a
    cancelled job are stopped within `cancel_ms`, each stop takes `stop_timeout_ms`.

    Units: milliseconds.
    Source: the settings of the process.
    """

    stop_timeout_ms: float = 200.0
    cancel_ms: float = 3_000.0
    early_ms: float = 250.0
    status_retention_ms: float = 120_000.0
    max_hold_ms: float = 10_000.0
    gang_wait_ms: float = 3_000.0
