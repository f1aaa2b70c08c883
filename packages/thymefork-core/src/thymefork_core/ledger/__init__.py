"""What the log says: ownership, starts, endings and accepted work."""

from .accepted_index import AcceptedIndex, AcceptedState, AcceptedWork
from .entries import (
    Accept,
    Claim,
    Close,
    End,
    Ending,
    Entry,
    Handover,
    Held,
    Record,
    Renew,
    Resign,
    Start,
    Take,
)
from .hall_ledger import HallLedger
from .state import HallState, OpenAttempt, TaskState
from .verdict_of_work import final_answer
from .verdicts import Verdict, WorkerMoved

__all__ = [
    "Accept",
    "AcceptedIndex",
    "AcceptedState",
    "AcceptedWork",
    "Claim",
    "Close",
    "End",
    "Ending",
    "Entry",
    "HallLedger",
    "HallState",
    "Handover",
    "Held",
    "OpenAttempt",
    "Record",
    "Renew",
    "Resign",
    "Start",
    "Take",
    "TaskState",
    "Verdict",
    "WorkerMoved",
    "final_answer",
]
