"""Messages of workers and their endpoints."""

from .attempt_report import AttemptReport
from .lookup_ended import LookupEnded
from .poll_failed import PollFailed
from .starts_answered import StartsAnswered
from .starts_failed import StartsFailed
from .throttled import Throttled
from .worker_report import WorkerReport

__all__ = [
    "AttemptReport",
    "LookupEnded",
    "PollFailed",
    "StartsAnswered",
    "StartsFailed",
    "Throttled",
    "WorkerReport",
]
