"""What a cell knows of jobs, runs and workers while they live."""

from .account_usage import AccountUsage
from .advice_slots import LONG_CALL_MS, AdviceSlots
from .job import Job, JobState
from .loss import SOON_MS, Loss, are_alike
from .run import Run, RunState
from .step_state import StepState, Ticket
from .task import Task
from .trial import Trial
from .worker import Worker
from .worker_health import WorkerHealth

__all__ = [
    "AccountUsage",
    "AdviceSlots",
    "Job",
    "JobState",
    "LONG_CALL_MS",
    "Loss",
    "Run",
    "RunState",
    "SOON_MS",
    "StepState",
    "Task",
    "Ticket",
    "Trial",
    "Worker",
    "WorkerHealth",
    "are_alike",
]
