"""In-memory state of a cell's jobs, runs and workers."""

from .account_usage import AccountUsage
from .advice_slots import LONG_CALL_MS, AdviceSlots
from .delayed_start import BINDING_MS, MAX_COMMAND_DELAY_MS, DelayedStart
from .isolation import Isolation
from .job import Job, JobState
from .run import Run, RunState
from .step_state import StepState, Ticket
from .task import Task
from .worker import Worker
from .worker_health import WorkerHealth
from .worker_loss import EARLY_LOSS_MS, WorkerLoss, have_similar_timing

__all__ = [
    "BINDING_MS",
    "EARLY_LOSS_MS",
    "LONG_CALL_MS",
    "MAX_COMMAND_DELAY_MS",
    "AccountUsage",
    "AdviceSlots",
    "DelayedStart",
    "Isolation",
    "Job",
    "JobState",
    "Run",
    "RunState",
    "StepState",
    "Task",
    "Ticket",
    "Worker",
    "WorkerHealth",
    "WorkerLoss",
    "have_similar_timing",
]
