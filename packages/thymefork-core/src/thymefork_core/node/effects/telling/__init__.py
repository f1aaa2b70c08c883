"""Counters, timers, log lines, messages to peers and the end."""

from .count import Count
from .exit import Exit
from .level import Level
from .note import Note
from .send_peer import SendPeer
from .timing import Timing

__all__ = ["Count", "Exit", "Level", "Note", "SendPeer", "Timing"]
