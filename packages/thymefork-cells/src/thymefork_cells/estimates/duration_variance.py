"""Variation of task durations on the same worker."""

__all__ = ["IMAGE_DEVIATION", "RUN_VARIANCE"]

# Variance of the logarithm of durations among tasks of one step, without outliers.
RUN_VARIANCE = 0.07
# Standard deviation of the logarithm among tasks of one image. It includes the
# differences between steps.
IMAGE_DEVIATION = 0.3
