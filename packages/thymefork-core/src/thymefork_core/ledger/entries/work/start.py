"""Start: announce a start before it is sent."""

from attrs import frozen

from thymefork_core.model import Resources

__all__ = ["Start"]


@frozen(kw_only=True)
class Start:
    """Announce a start before it is sent."""

    work_id: str
    task: int
    attempt: int
    worker: str
    resources: Resources
    team: str
    at_most_once: bool
