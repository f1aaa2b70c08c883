"""Log lines, counters and histograms."""

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
    """Raise a counter."""

    name: str
    reason: str
    amount: int = 1


@frozen(kw_only=True, eq=False)
class Observe:
    """Put a time in milliseconds into a histogram."""

    name: str
    value_ms: float
    kind: str = ""
