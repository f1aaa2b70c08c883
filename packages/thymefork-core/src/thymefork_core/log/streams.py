"""The streams that thymefork keeps in the platform's log."""

from enum import StrEnum

__all__ = ["Stream", "stream_name"]


class Stream(StrEnum):
    """Name the kinds of streams."""

    ACCEPTED = "accepted"
    ACCEPTED_CHECKPOINT = "accepted-checkpoint"
    CONFIG = "config"
    HALL = "hall"
    HALL_CHECKPOINT = "hall-checkpoint"


def stream_name(stream, hall):
    """Return the name in the log; streams of a hall carry its name."""
    if stream in (Stream.HALL, Stream.HALL_CHECKPOINT):
        return f"{stream}.{hall}"
    return str(stream)
