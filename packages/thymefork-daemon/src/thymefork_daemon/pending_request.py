"""A caller's request on its way to the owner of its cell."""

from attrs import define

__all__ = ["PendingRequest"]


@define(kw_only=True, eq=False)
class PendingRequest:
    """Follow one request; `tries` counts the owners that may have taken it."""

    kind: str
    queue: str
    job_id: str
    data: bytes
    cell: int
    respond: object
    find_until_ms: float
    deadline_ms: float
    link: object = None
    tries: int = 0
    timer_id: int = 0
