"""What teams have running in this hall, against their quotas."""

from thymefork_core.model import Resources, WorkKind

__all__ = ["Quotas", "whole_need"]


def whole_need(spec):
    """Return what must fit at once: all tasks of a job, one of other work."""
    return spec.resources * (spec.tasks if spec.kind is WorkKind.JOB else 1)


class Quotas:
    """Sum the hall's open attempts by team, as the log tells every reader.

    Starts on their way are counted by the home that asked for them, so a quota may
    be passed for a moment by what other homes have on their way.
    """

    def __init__(self, *, context):
        self.ctx = context
        self._on_way = {}

    def clear(self):
        """Forget what was on its way."""
        self._on_way.clear()

    def add(self, team_name, resources):
        """Count what is on its way."""
        on_way = self._on_way.get(team_name, Resources())
        self._on_way[team_name] = on_way + resources

    def subtract(self, team_name, resources):
        """Stop counting what has arrived or did not come."""
        self._on_way[team_name] = self._on_way[team_name] - resources

    def held(self, team_name):
        """Return what a team has running or on its way."""
        on_way = self._on_way.get(team_name, Resources())
        return self.ctx.ledger.held_by_team(team_name) + on_way

    def left(self, team_name):
        """Return what a team may still start, or None for an unknown team."""
        team = self.ctx.file.team(team_name) if self.ctx.file else None
        return team.quota - self.held(team_name) if team else None

    def share(self, team_name):
        """Return the share of its quota that a team has in use."""
        team = self.ctx.file.team(team_name) if self.ctx.file else None
        return self.held(team_name).share_of(team.quota) if team else 1.0

    def allow(self, spec):
        """Tell whether work may start now."""
        left = self.left(spec.team)
        return left is not None and whole_need(spec).fits(left)
