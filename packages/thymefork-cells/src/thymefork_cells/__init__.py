"""Scheduling decisions of a cell, without I/O."""

from .cell import Cell
from .context import WORKER_LIST_MAX_AGE_MS
from .estimates.speed_announcements import REANNOUNCE_MS
from .estimates.worker_speeds import LearnedSpeed
from .hashing import cell_of
from .jobs.codec import decode_spec, encode_spec
from .lease_notice import LeaseNotice, LeavingWorker, OwnerEnd
from .reports import EndRow, HeardEnd, RunRow, WorkerReport
from .state import LONG_CALL_MS, AdviceSlots
from .workers.commands import CommandAnswer, Refusal
from .workers.inherited_leases import EPOCH_KEY

__all__ = [
    "EPOCH_KEY",
    "LONG_CALL_MS",
    "REANNOUNCE_MS",
    "WORKER_LIST_MAX_AGE_MS",
    "AdviceSlots",
    "Cell",
    "CommandAnswer",
    "EndRow",
    "HeardEnd",
    "LearnedSpeed",
    "LeaseNotice",
    "LeavingWorker",
    "OwnerEnd",
    "Refusal",
    "RunRow",
    "WorkerReport",
    "cell_of",
    "decode_spec",
    "encode_spec",
]
