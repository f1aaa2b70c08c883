"""Networking on the event loop: timers, an HTTP client and server, and peer links."""

from .adaptive_timeout import AdaptiveTimeout
from .address import Address
from .sockets import Sockets
from .steady import SteadyTimers, steady_ms

__all__ = ["AdaptiveTimeout", "Address", "Sockets", "SteadyTimers", "steady_ms"]
