"""The operators' file: what they want, declared as a whole."""

from attrs import field, frozen, validators

from .resources import Resources
from .work import WorkKind

__all__ = ["OperatorsFile", "Policy", "Service", "StandingWork", "Team", "WorkerDecl"]

_positive = validators.ge(1)


@frozen(kw_only=True)
class WorkerDecl:
    """Declare a worker with its place, its resources and its endpoint."""

    name: str
    hall: str
    rack: str
    resources: Resources


@frozen(kw_only=True)
class Service:
    """Declare an endpoint service that lookups and streams ask for.

    Units: `slots` are concurrent lookups, `connections` open connections, both a
    worker; `lookup_timeout_ms` and `queue_limit` bound the wait.
    """

    name: str
    slots: int = field(validator=_positive)
    connections: int = field(validator=_positive)
    lookup_timeout_ms: int = field(
        default=1000, validator=[_positive, validators.le(2000)]
    )
    queue_limit: int = field(default=64, validator=validators.ge(0))


@frozen(kw_only=True)
class Team:
    """Declare a team with the most that it may run at a time in each hall."""

    name: str
    quota: Resources


@frozen(kw_only=True)
class Policy:
    """Weigh waiting time, packing and control cost for a class of work."""

    kind: WorkKind
    waiting_weight: float = field(validator=validators.ge(0))
    packing_weight: float = field(validator=validators.ge(0))
    control_weight: float = field(validator=validators.ge(0))
    max_attempts: int = field(default=3, validator=_positive)


@frozen(kw_only=True)
class StandingWork:
    """Declare a long-running service that is kept running in a hall."""

    name: str
    hall: str
    team: str
    resources: Resources


@frozen(kw_only=True)
class OperatorsFile:
    """Hold one whole configuration."""

    region: str
    halls: tuple[str, ...]
    workers: tuple[WorkerDecl, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    policies: tuple[Policy, ...]
    standing: tuple[StandingWork, ...] = ()

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
