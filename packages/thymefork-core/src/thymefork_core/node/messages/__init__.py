"""Messages that the daemon brings to the node."""

from .callers import (
    ApplyRequest,
    CallerGone,
    CancelRequest,
    LookupRequest,
    ReportRequest,
    SubmitRequest,
)
from .life import ListRead, PeerHeard, PeerRefused, StopSignal, Tick
from .log import (
    AppendAcked,
    AppendLost,
    AppendRefused,
    CheckpointRead,
    ConfigRead,
    LogFailed,
    LogRead,
    LogReset,
)
from .workers import (
    AttemptReport,
    LookupEnded,
    PollFailed,
    StartsAnswered,
    StartsFailed,
    Throttled,
    WorkerReport,
)

__all__ = [
    "AppendAcked",
    "AppendLost",
    "AppendRefused",
    "ApplyRequest",
    "AttemptReport",
    "CallerGone",
    "CancelRequest",
    "CheckpointRead",
    "ConfigRead",
    "ListRead",
    "LogFailed",
    "LogRead",
    "LogReset",
    "LookupEnded",
    "LookupRequest",
    "PeerHeard",
    "PeerRefused",
    "PollFailed",
    "ReportRequest",
    "StartsAnswered",
    "StartsFailed",
    "StopSignal",
    "SubmitRequest",
    "Throttled",
    "Tick",
    "WorkerReport",
]
