"""Estimate task durations, worker speeds and when capacity is freed."""

from .capacity_forecast import CapacityForecast
from .free_capacity import FreeCapacity
from .image_durations import ImageDurations
from .lateness_probability import LatenessProbability
from .speed_announcements import REANNOUNCE_MS, SpeedAnnouncements
from .speed_learner import SpeedLearner
from .worker_speeds import LearnedSpeed, WorkerSpeeds

__all__ = [
    "REANNOUNCE_MS",
    "CapacityForecast",
    "FreeCapacity",
    "ImageDurations",
    "LatenessProbability",
    "LearnedSpeed",
    "SpeedAnnouncements",
    "SpeedLearner",
    "WorkerSpeeds",
]
