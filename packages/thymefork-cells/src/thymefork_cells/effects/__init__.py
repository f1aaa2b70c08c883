"""What a cell wants done outside: orders, calls, replies, log lines."""

from .advice import AskAdvice
from .looks import EndsStored, LookAt, StrayRun, TellEnds, TellSpeeds
from .orders import PaceRun, StartRun, StopRun
from .parts import AskParts, GrantParts, HoldParts
from .replies import Outcome, Reply
from .telling import Count, Note, Observe

__all__ = [
    "AskAdvice",
    "AskParts",
    "Count",
    "EndsStored",
    "GrantParts",
    "HoldParts",
    "LookAt",
    "Note",
    "Observe",
    "Outcome",
    "PaceRun",
    "Reply",
    "StartRun",
    "StopRun",
    "StrayRun",
    "TellEnds",
    "TellSpeeds",
]
