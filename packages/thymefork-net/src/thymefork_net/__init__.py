"""The event loop's parts: steady timers, HTTP both ways, links between instances."""

from .address import Address
from .answer_pace import AnswerPace
from .sockets import Sockets
from .steady import SteadyTimers, steady_ms

__all__ = ["Address", "AnswerPace", "Sockets", "SteadyTimers", "steady_ms"]
