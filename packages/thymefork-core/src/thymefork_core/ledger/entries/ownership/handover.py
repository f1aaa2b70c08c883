"""Handover: hand a worker over, less the connections that open streams still hold."""

from attrs import frozen

__all__ = ["Handover"]


@frozen(kw_only=True)
class Handover:
    """Hand a worker over, less the connections that open streams still hold."""

    worker: str
    to: str
    held_connections: int = 0
