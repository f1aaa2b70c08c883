"""Take: take a worker that nobody owns."""

from attrs import frozen

__all__ = ["Take"]


@frozen(kw_only=True)
class Take:
    """Take a worker that nobody owns."""

    worker: str
