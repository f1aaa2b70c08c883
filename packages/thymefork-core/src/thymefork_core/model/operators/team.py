"""Team: declare a team with the most that it may run at a time in each hall."""

from attrs import frozen

from ..resources import Resources

__all__ = ["Team"]


@frozen(kw_only=True)
class Team:
    """Declare a team with the most that it may run at a time in each hall."""

    name: str
    quota: Resources
