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
    MachineSpeed,
    OwnedCell,
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
    "Link",
    "Links",
    "MachineSpeed",
    "OwnedCell",
    "SpeedsLearned",
    "PartsAsk",
    "PartsGrant",
    "PartsHold",
    "PartsRow",
    "WorkerTicket",
]
