"""CloseIdle: close the idle connections to the endpoint of a worker owned no more."""

from attrs import frozen

__all__ = ["CloseIdle"]


@frozen(kw_only=True)
class CloseIdle:
    """Close the idle connections to the endpoint of a worker owned no more."""

    worker: str
