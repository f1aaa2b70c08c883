"""Held: tell how many connections the author still holds at a worker."""

from attrs import frozen

__all__ = ["Held"]


@frozen(kw_only=True)
class Held:
    """Tell how many connections the author still holds at a worker."""

    worker: str
    connections: int
