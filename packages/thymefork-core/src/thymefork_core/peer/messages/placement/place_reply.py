"""PlaceReply: tell which tasks of a request for room were granted."""

from attrs import frozen

__all__ = ["PlaceReply"]


@frozen(kw_only=True)
class PlaceReply:
    """Tell which tasks of a request for room were granted."""

    place_id: str
    granted: tuple[int, ...]
