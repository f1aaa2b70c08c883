"""Effects on workers and their endpoints."""

from .close_idle import CloseIdle
from .poll_worker import PollWorker
from .proxy import Proxy
from .send_starts import SendStarts
from .send_stops import SendStops
from .send_throttle import SendThrottle
from .start_order import StartOrder

__all__ = [
    "CloseIdle",
    "PollWorker",
    "Proxy",
    "SendStarts",
    "SendStops",
    "SendThrottle",
    "StartOrder",
]
