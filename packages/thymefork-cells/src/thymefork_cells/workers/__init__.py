"""Workers of a cell: registration, polling, commands and failure detection."""

from .commands import CommandAnswer, CommandTracker, Refusal
from .crash_evidence import (
    MAX_CLEARING_TIME_MS,
    MAX_CRASHES,
    MAX_LOSSES,
    clearing_time_ms,
)
from .gang_monitor import GangMonitor
from .incarnations import IncarnationMatch, IncarnationTracker
from .inherited_leases import EPOCH_KEY, InheritedLeases
from .lease_duration import lease_ms_for, max_lease_duration_ms
from .leaving_workers import LeavingWorkers
from .pacing import PaceController
from .progress_monitor import ProgressMonitor
from .quorum import OUTAGE_GRACE_MS, QUORUM_ANSWER_MAX_AGE_MS, Quorum
from .run_reconciler import UNANSWERED_START_REASON, RunReconciler
from .worker_losses import WorkerLosses
from .worker_poller import WorkerPoller
from .worker_registry import WorkerRegistry

__all__ = [
    "EPOCH_KEY",
    "MAX_CLEARING_TIME_MS",
    "MAX_CRASHES",
    "MAX_LOSSES",
    "OUTAGE_GRACE_MS",
    "QUORUM_ANSWER_MAX_AGE_MS",
    "UNANSWERED_START_REASON",
    "CommandAnswer",
    "CommandTracker",
    "GangMonitor",
    "IncarnationMatch",
    "IncarnationTracker",
    "InheritedLeases",
    "LeavingWorkers",
    "PaceController",
    "ProgressMonitor",
    "Quorum",
    "Refusal",
    "RunReconciler",
    "WorkerLosses",
    "WorkerPoller",
    "WorkerRegistry",
    "clearing_time_ms",
    "lease_ms_for",
    "max_lease_duration_ms",
]
