"""Effects that a cell emits: commands, calls, messages, replies, log lines."""

from .advice import RequestAdvice
from .commands import PaceRun, StartRun, StopRun
from .parts import GrantParts, ReportHeldParts, RequestParts
from .polls import (
    AnnounceEnds,
    AnnounceLeases,
    AnnounceSpeeds,
    EndsStored,
    OrphanedRun,
    PollWorker,
)
from .replies import Outcome, Reply
from .telemetry import Count, Note, Observe

__all__ = [
    "AnnounceEnds",
    "AnnounceLeases",
    "AnnounceSpeeds",
    "Count",
    "EndsStored",
    "GrantParts",
    "Note",
    "Observe",
    "OrphanedRun",
    "Outcome",
    "PaceRun",
    "PollWorker",
    "Reply",
    "ReportHeldParts",
    "RequestAdvice",
    "RequestParts",
    "StartRun",
    "StopRun",
]
