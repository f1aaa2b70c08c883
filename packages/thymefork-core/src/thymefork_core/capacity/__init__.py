"""The arithmetic of owned workers."""

from .worker_book import WorkerBook
from .worker_health import WorkerHealth
from .worker_view import WorkerView

__all__ = ["WorkerBook", "WorkerHealth", "WorkerView"]
