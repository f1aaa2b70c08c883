"""The type `LookupRequest`."""

from attrs import frozen

__all__ = ["LookupRequest"]


@frozen(kw_only=True)
class LookupRequest:
    """Bring a lookup, or a stream that stays open; `hopped` if a peer passed it on.

    Units: `deadline_ms` is milliseconds since the epoch.
    """

    request_id: str
    service: str
    target: str
    body: bytes
    deadline_ms: int
    stream: bool = False
    hopped: bool = False
