"""Lookups and answers that are passed on."""

from .hop_lookup import HopLookup
from .hop_reply import HopReply
from .join import Join
from .join_reply import JoinReply

__all__ = ["HopLookup", "HopReply", "Join", "JoinReply"]
