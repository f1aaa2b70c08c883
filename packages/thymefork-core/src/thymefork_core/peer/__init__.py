"""Messages between entry instances."""

from .messages import (
    Commit,
    ConfigPull,
    ConfigPush,
    Heartbeat,
    HopLookup,
    HopReply,
    Join,
    JoinReply,
    PeerMessage,
    Place,
    PlaceItem,
    PlaceReply,
    Release,
)

__all__ = [
    "Commit",
    "ConfigPull",
    "ConfigPush",
    "Heartbeat",
    "HopLookup",
    "HopReply",
    "Join",
    "JoinReply",
    "PeerMessage",
    "Place",
    "PlaceItem",
    "PlaceReply",
    "Release",
]
