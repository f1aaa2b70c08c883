"""Resign: hand the author's accepted work over before a planned stop."""

from attrs import frozen

__all__ = ["Resign"]


@frozen(kw_only=True)
class Resign:
    """Hand the author's accepted work over before a planned stop."""

    to: str
