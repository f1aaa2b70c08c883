"""Ending: name how an attempt ended."""

from enum import StrEnum

__all__ = ["Ending"]


class Ending(StrEnum):
    """Name how an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    NOT_SENT = "not_sent"
    PREEMPTED = "preempted"
    STOPPED = "stopped"
