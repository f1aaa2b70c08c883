"""What is believed of a quantity that is learned from noisy observations."""

from attrs import define

__all__ = ["LogEstimate"]


@define(kw_only=True)
class LogEstimate:
    """Keep mean and variance of the logarithm of a quantity; doubt grows with time.

    Units: natural logarithms, `*_ms` on the steady clock.
    """

    mean: float
    variance: float
    at_ms: float
    max_variance: float

    def add_drift(self, now_ms, per_s):
        """Let the variance grow since the last time by so much a second."""
        grown = self.variance + per_s * max(0.0, now_ms - self.at_ms) / 1000.0
        self.variance = min(self.max_variance, grown)
        self.at_ms = now_ms

    def add_variance(self, variance):
        """Keep the mean, with more doubt."""
        self.variance = min(self.max_variance, self.variance + variance)

    def move(self, residual, *, total_variance, weight=1.0):
        """Take this quantity's part of what an observation differs by."""
        gain = weight * self.variance / total_variance
        self.mean += gain * residual
        self.variance *= 1.0 - gain
