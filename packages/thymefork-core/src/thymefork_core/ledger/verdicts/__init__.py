"""What a reader of the hall's stream learns from an entry."""

from .verdict import Verdict
from .worker_moved import WorkerMoved

__all__ = ["Verdict", "WorkerMoved"]
