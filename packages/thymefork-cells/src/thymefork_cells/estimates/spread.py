"""How much tasks of one image on one worker differ in time."""

from math import sqrt

__all__ = ["RUN_DEVIATION", "RUN_VARIANCE"]

# Of the logarithm of a duration: some three tenths more or less, long tails apart.
RUN_VARIANCE = 0.09
RUN_DEVIATION = sqrt(RUN_VARIANCE)
