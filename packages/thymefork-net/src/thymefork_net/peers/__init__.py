"""Links between instances: length-prefixed Thrift messages over TCP."""

from .gen.ttypes import (
    AdviceReply,
    AdviceRequest,
    CallerReply,
    CallerRequest,
    EndsHeard,
    HeardEnd,
    Heartbeat,
    Hello,
    LeaseNotice,
    LeavingWorker,
    MachineSpeed,
    OwnedCell,
    OwnerEnd,
    PartsAsk,
    PartsGrant,
    PartsHold,
    PartsRow,
    SpeedsLearned,
    WorkerTicket,
)
from .link import Link
from .links import Links

__all__ = [
    "AdviceReply",
    "AdviceRequest",
    "CallerReply",
    "CallerRequest",
    "EndsHeard",
    "HeardEnd",
    "Heartbeat",
    "Hello",
    "LeaseNotice",
    "LeavingWorker",
    "Link",
    "Links",
    "MachineSpeed",
    "OwnedCell",
    "OwnerEnd",
    "SpeedsLearned",
    "PartsAsk",
    "PartsGrant",
    "PartsHold",
    "PartsRow",
    "WorkerTicket",
]
