"""InstanceState: name the states that the platform's instance list gives."""

from enum import StrEnum

__all__ = ["InstanceState"]


class InstanceState(StrEnum):
    """Name the states that the platform's instance list gives."""

    LIVE = "live"
    LEAVING = "leaving"
