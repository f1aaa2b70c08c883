"""Entries of the log's records; one record carries many of them."""

from .entry import Entry
from .ownership import Claim, Handover, Held, Renew, Resign, Take
from .record import Record
from .work import Accept, Close, End, Ending, Start

__all__ = [
    "Accept",
    "Claim",
    "Close",
    "End",
    "Ending",
    "Entry",
    "Handover",
    "Held",
    "Record",
    "Renew",
    "Resign",
    "Start",
    "Take",
]
