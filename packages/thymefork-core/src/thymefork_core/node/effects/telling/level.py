"""Level: name the levels of log lines."""

from enum import StrEnum

__all__ = ["Level"]


class Level(StrEnum):
    """Name the levels of log lines."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
