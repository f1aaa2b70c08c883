"""OperatorsFile: hold one whole configuration."""

from attrs import frozen

from .policy import Policy
from .service import Service
from .standing_work import StandingWork
from .team import Team
from .worker_decl import WorkerDecl

__all__ = ["OperatorsFile"]


@frozen(kw_only=True)
class OperatorsFile:
    """Hold one whole configuration.

    Units: `between_halls_us` and `to_callers_us` are usual one-way delays.
    """

    region: str
    halls: tuple[str, ...]
    workers: tuple[WorkerDecl, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    policies: tuple[Policy, ...]
    standing: tuple[StandingWork, ...] = ()
    between_halls_us: int = 0
    to_callers_us: int = 0

    def worker(self, name):
        """Return the declaration of a worker, or None."""
        return next((w for w in self.workers if w.name == name), None)

    def service(self, name):
        """Return the declaration of a service, or None."""
        return next((s for s in self.services if s.name == name), None)

    def team(self, name):
        """Return the declaration of a team, or None."""
        return next((t for t in self.teams if t.name == name), None)

    def policy(self, kind):
        """Return the policy of a class of work, or an even one."""
        for policy in self.policies:
            if policy.kind == kind:
                return policy
        return Policy(
            kind=kind, waiting_weight=1.0, packing_weight=1.0, control_weight=1.0
        )
