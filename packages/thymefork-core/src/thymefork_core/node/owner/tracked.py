"""What the owner knows of an attempt beyond the log."""

from attrs import define

__all__ = ["Tracked"]


@define(kw_only=True)
class Tracked:
    """Hold the sending side of an attempt.

    Units: `gone_after_ms` and `started_at_ms` are on the worker's clock, in
    milliseconds since the epoch.
    """

    started_at_ms: int | None = None
    gone_after_ms: int | None = None
    ending: bool = False
    preempted: bool = False

    def is_gone(self, measured_at_ms):
        """Tell whether a report without the attempt proves that it is gone.

        An attempt whose start may still arrive is gone only after its lease, when a
        late start would end at once.
        """
        if self.gone_after_ms is not None:
            return measured_at_ms > self.gone_after_ms
        started_ms = self.started_at_ms
        return started_ms is not None and measured_at_ms > started_ms
