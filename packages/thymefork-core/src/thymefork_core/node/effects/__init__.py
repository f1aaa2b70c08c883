"""What the node asks the daemon to do."""

from .effect import Effect
from .log import Append, SaveCheckpoint
from .replies import ReplyAnswers, ReplyApplied, ReplyLookup, ReplyReport
from .telling import Count, Exit, Level, Note, SendPeer, Timing
from .workers import (
    CloseIdle,
    PollWorker,
    Proxy,
    SendStarts,
    SendStops,
    SendThrottle,
    StartOrder,
)

__all__ = [
    "Append",
    "CloseIdle",
    "Count",
    "Effect",
    "Exit",
    "Level",
    "Note",
    "PollWorker",
    "Proxy",
    "ReplyAnswers",
    "ReplyApplied",
    "ReplyLookup",
    "ReplyReport",
    "SaveCheckpoint",
    "SendPeer",
    "SendStarts",
    "SendStops",
    "SendThrottle",
    "StartOrder",
    "Timing",
]
