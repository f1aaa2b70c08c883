"""Place: ask an owner for room; `hold` reserves only, until the deadline."""

from attrs import frozen

from thymefork_core.model import WorkSpec

from .place_item import PlaceItem

__all__ = ["Place"]


@frozen(kw_only=True)
class Place:
    """Ask an owner for room; `hold` reserves only, until the deadline.

    Units: `until_ms` is milliseconds since the epoch.
    """

    place_id: str
    spec: WorkSpec
    items: tuple[PlaceItem, ...]
    hold: bool
    until_ms: int
