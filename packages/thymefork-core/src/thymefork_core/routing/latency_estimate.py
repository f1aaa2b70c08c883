"""How long an endpoint is expected to take, from those that have answered."""

from attrs import define

__all__ = ["LatencyEstimate"]

WEIGHT = 0.1
DEVIATIONS = 2.0


@define(kw_only=True)
class LatencyEstimate:
    """Smooth the mean and the deviation of measured times.

    Units: milliseconds; measured spans.
    """

    mean_ms: float = 5.0
    deviation_ms: float = 0.0

    def note(self, took_ms):
        """Take a measured time."""
        error_ms = took_ms - self.mean_ms
        self.mean_ms += WEIGHT * error_ms
        self.deviation_ms += WEIGHT * (abs(error_ms) - self.deviation_ms)

    @property
    def expected_ms(self):
        """Return a time that few answers exceed."""
        return self.mean_ms + DEVIATIONS * self.deviation_ms
