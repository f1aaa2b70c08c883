"""Typed values that callers, operators and instances share."""

from .answer import Answer, Outcome
from .operators import (
    OperatorsFile,
    Policy,
    Service,
    StandingWork,
    Team,
    WorkerDecl,
)
from .resources import Resources
from .work import WorkKind, WorkSpec

__all__ = [
    "Answer",
    "OperatorsFile",
    "Outcome",
    "Policy",
    "Resources",
    "Service",
    "StandingWork",
    "Team",
    "WorkKind",
    "WorkSpec",
    "WorkerDecl",
]
