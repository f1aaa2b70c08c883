"""Log lines and metrics."""

from attrs import field, frozen

__all__ = ["Count", "Note", "Observe"]


@frozen(kw_only=True, eq=False)
class Note:
    """Write one log line about a decision."""

    event: str
    level: str = "INFO"
    fields: dict = field(factory=dict)


@frozen(kw_only=True, eq=False)
class Count:
    """Increment a counter."""

    name: str
    reason: str
    amount: int = 1


@frozen(kw_only=True, eq=False)
class Observe:
    """Record a duration in a histogram.

    Units: milliseconds.
    """

    name: str
    value_ms: float
    kind: str = ""
