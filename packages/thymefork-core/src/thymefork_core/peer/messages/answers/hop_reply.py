"""HopReply: return a lookup's answer, or that the slot was gone."""

from attrs import frozen

__all__ = ["HopReply"]


@frozen(kw_only=True)
class HopReply:
    """Return a lookup's answer, or that the slot was gone."""

    hop_id: str
    status: int
    body: bytes
