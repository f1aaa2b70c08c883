"""The event loop's parts: steady timers, HTTP both ways, links between instances."""

from .adaptive_timeout import AdaptiveTimeout
from .address import Address
from .sockets import Sockets
from .steady import SteadyTimers, steady_ms

__all__ = ["AdaptiveTimeout", "Address", "Sockets", "SteadyTimers", "steady_ms"]
