"""Claim: claim all that a silent instance owned; void if it has written since."""

from attrs import frozen

__all__ = ["Claim"]


@frozen(kw_only=True)
class Claim:
    """Claim all that a silent instance owned; void if it has written since."""

    victim: str
    seen_offset: int
