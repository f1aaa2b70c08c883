"""Configuration of a service."""

from attrs import frozen

__all__ = ["ServicePolicy"]


@frozen(kw_only=True)
class ServicePolicy:
    """Configuration of one service."""

    name: str
    max_connections: int = 64
    headroom: bool = False
