"""Writing to the platform's log: streams, group commit and health."""

from .append_queue import AppendQueue, Batch
from .log_health import LogHealth
from .streams import Stream, stream_name

__all__ = ["AppendQueue", "Batch", "LogHealth", "Stream", "stream_name"]
