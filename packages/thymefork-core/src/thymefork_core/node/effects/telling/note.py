"""Note: write a line to the structured log."""

from attrs import frozen

from .level import Level

__all__ = ["Note"]


@frozen(kw_only=True)
class Note:
    """Write a line to the structured log."""

    text: str
    step: str
    peer: str = ""
    subject: str = ""
    level: Level = Level.INFO
