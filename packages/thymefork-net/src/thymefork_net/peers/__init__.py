"""Links between instances: thrift messages in frames on TCP connections."""

from .gen.ttypes import (
    AdviceReply,
    AdviceRequest,
    CallerReply,
    CallerRequest,
    EndsHeard,
    HeardEnd,
    Heartbeat,
    Hello,
    OwnedCell,
    PartsAsk,
    PartsGrant,
    PartsHold,
    PartsRow,
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
    "OwnedCell",
    "PartsAsk",
    "PartsGrant",
    "PartsHold",
    "PartsRow",
    "WorkerTicket",
]
