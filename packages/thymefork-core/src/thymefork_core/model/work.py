"""What callers submit."""

from enum import StrEnum

from attrs import field, frozen, validators

from .resources import Resources

__all__ = ["WorkKind", "WorkSpec"]


class WorkKind(StrEnum):
    """Name the classes of recorded work."""

    TASK = "task"
    JOB = "job"
    SERVICE = "service"


@frozen(kw_only=True)
class WorkSpec:
    """Describe one piece of work: a task, a job of many tasks or a service.

    Units: `run_ms` is the declared run time; `submitted_at_ms` and `deadline_ms`
    are milliseconds since the epoch.
    """

    work_id: str = field(validator=validators.matches_re(r"[\w.:-]{1,96}"))
    kind: WorkKind
    team: str
    resources: Resources
    submitted_at_ms: int
    deadline_ms: int
    tasks: int = field(default=1, validator=[validators.ge(1), validators.le(512)])
    run_ms: int = field(default=1000, validator=validators.ge(0))
    at_most_once: bool = False
    urgent: bool = False
    payload: str = field(default="", validator=validators.max_len(4096))
