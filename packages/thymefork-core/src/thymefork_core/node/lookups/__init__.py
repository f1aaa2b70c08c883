"""Lookups and streams: own slots, one hop to a peer, a short queue."""

from .hops import PEER_MARK
from .router import Router

__all__ = ["PEER_MARK", "Router"]
