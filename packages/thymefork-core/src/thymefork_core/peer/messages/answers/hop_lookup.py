"""HopLookup: pass a lookup on to a peer with a free slot."""

from attrs import frozen

__all__ = ["HopLookup"]


@frozen(kw_only=True)
class HopLookup:
    """Pass a lookup on to a peer with a free slot.

    Units: `deadline_ms` is milliseconds since the epoch.
    """

    hop_id: str
    service_name: str
    target: str
    body: bytes
    deadline_ms: int
