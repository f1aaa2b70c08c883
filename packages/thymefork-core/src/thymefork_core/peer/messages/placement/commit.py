"""Commit: start what was reserved."""

from attrs import frozen

__all__ = ["Commit"]


@frozen(kw_only=True)
class Commit:
    """Start what was reserved."""

    place_id: str
