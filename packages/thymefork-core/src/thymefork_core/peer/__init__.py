"""Messages between entry instances."""

from .messages import (
    Beat,
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
    "Beat",
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
