"""Estimates: how long tasks take, and when room comes free."""

from .images import ImageTimes
from .room import Room
from .room_forecast import RoomForecast

__all__ = ["ImageTimes", "Room", "RoomForecast"]
