"""Messages between entry instances; their wire form is in thymefork-wire."""

from .answers import HopLookup, HopReply, Join, JoinReply
from .life import Beat, ConfigPull, ConfigPush, Heartbeat
from .peer_message import PeerMessage
from .placement import Commit, Place, PlaceItem, PlaceReply, Release

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
