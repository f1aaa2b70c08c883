"""Beat: tell that nothing that matters has changed since the last heartbeat."""

from attrs import frozen

__all__ = ["Beat"]


@frozen(kw_only=True)
class Beat:
    """Tell that nothing that matters has changed since the last heartbeat."""

    seq: int
    echo: int
