"""How the operators want a service's workers to be used."""

from attrs import frozen

__all__ = ["ServicePolicy"]


@frozen(kw_only=True)
class ServicePolicy:
    """Hold what the operators' configuration says of one service."""

    name: str
    max_connections: int = 64
    headroom: bool = False
