"""Release: give back what was reserved."""

from attrs import frozen

__all__ = ["Release"]


@frozen(kw_only=True)
class Release:
    """Give back what was reserved."""

    place_id: str
