"""PlaceItem: name one task to start and what it needs."""

from attrs import frozen

__all__ = ["PlaceItem"]


@frozen(kw_only=True)
class PlaceItem:
    """Name one task to start and what it needs."""

    work_id: str
    task: int
    attempt: int
