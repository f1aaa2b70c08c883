"""StandingWork: declare a long-running service that is kept running in a hall."""

from attrs import frozen

from ..resources import Resources

__all__ = ["StandingWork"]


@frozen(kw_only=True)
class StandingWork:
    """Declare a long-running service that is kept running in a hall."""

    name: str
    hall: str
    team: str
    resources: Resources
