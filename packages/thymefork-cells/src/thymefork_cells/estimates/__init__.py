"""Estimates: how long tasks take, where, and when room comes free."""

from .images import ImageTimes
from .late_chance import LateChance
from .room import Room
from .room_forecast import RoomForecast
from .speed_learner import SpeedLearner
from .speed_news import TELL_AGAIN_MS, SpeedNews
from .worker_speeds import LearnedSpeed, WorkerSpeeds

__all__ = [
    "ImageTimes",
    "LateChance",
    "LearnedSpeed",
    "Room",
    "RoomForecast",
    "SpeedLearner",
    "SpeedNews",
    "TELL_AGAIN_MS",
    "WorkerSpeeds",
]
