"""Tick: let time pass."""

from attrs import frozen

__all__ = ["Tick"]


@frozen(kw_only=True)
class Tick:
    """Let time pass."""
