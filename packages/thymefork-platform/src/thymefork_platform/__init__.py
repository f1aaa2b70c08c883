"""Clients of the platform: outgoing HTTP, log, instance list and workers."""

from .clock import mono_ms, now
from .events import BRAIN, SWEEP_S, deliver, hurry, perform, sweep
from .http_calls import Address, HttpCall, HttpResult
from .http_pool import HttpPool
from .instance_list import InstanceList
from .list_reader import ListReader
from .log_reader import LogReader
from .log_writer import LogWriter
from .worker_client import WorkerClient

__all__ = [
    "BRAIN",
    "SWEEP_S",
    "Address",
    "HttpCall",
    "HttpPool",
    "HttpResult",
    "InstanceList",
    "ListReader",
    "LogReader",
    "LogWriter",
    "WorkerClient",
    "deliver",
    "hurry",
    "mono_ms",
    "now",
    "perform",
    "sweep",
]
