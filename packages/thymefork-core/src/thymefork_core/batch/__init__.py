"""Tasks, jobs and services: order and placement."""

from .fair_queue import FairQueue
from .placer import choose_worker
from .task_key import TaskKey

__all__ = ["FairQueue", "TaskKey", "choose_worker"]
