"""Renew: renew the author's lease on all that it owns."""

from attrs import frozen

__all__ = ["Renew"]


@frozen(kw_only=True)
class Renew:
    """Renew the author's lease on all that it owns."""
