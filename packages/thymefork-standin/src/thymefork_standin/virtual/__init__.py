"""Fakes at the node's interfaces on virtual time: log, workers and the wires.

They drive the real node; the same seed and faults give the same run.
"""

from .virtual_log import VirtualLog
from .virtual_worker import VirtualWorker
from .world import World

__all__ = ["VirtualLog", "VirtualWorker", "World"]
