"""Estimate a quantity from noisy observations."""

from attrs import define

__all__ = ["LogEstimate"]


@define(kw_only=True)
class LogEstimate:
    """Hold mean and variance of the logarithm of a quantity that drifts over time.

    A one-dimensional Kalman filter. Units: natural logarithms, `*_ms` on the steady
    clock.
    """

    mean: float
    variance: float
    at_ms: float
    max_variance: float

    def add_drift(self, now_ms, variance_per_s):
        """Increase the variance by the drift since the last call."""
        grown = self.variance + variance_per_s * max(0.0, now_ms - self.at_ms) / 1000.0
        self.variance = min(self.max_variance, grown)
        self.at_ms = now_ms

    def add_variance(self, variance):
        """Increase the variance and keep the mean."""
        self.variance = min(self.max_variance, self.variance + variance)

    def update(self, residual, *, total_variance, weight=1.0):
        """Correct the mean by its part of an observation's residual."""
        gain = weight * self.variance / total_variance
        self.mean += gain * residual
        self.variance *= 1.0 - gain
