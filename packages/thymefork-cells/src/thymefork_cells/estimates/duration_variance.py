"""How much tasks on one worker differ in time."""

__all__ = ["IMAGE_DEVIATION", "RUN_VARIANCE"]

# Of logarithms of durations, long tails apart. Tasks of one step, about what that step
# takes:
RUN_VARIANCE = 0.07
# Tasks of one image, about what the image takes. Its steps differ, too, so it is more.
IMAGE_DEVIATION = 0.3
