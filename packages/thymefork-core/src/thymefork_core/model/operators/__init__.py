"""The operators' file: what they want, declared as a whole."""

from .operators_file import OperatorsFile
from .policy import Policy
from .service import Service
from .standing_work import StandingWork
from .team import Team
from .worker_decl import WorkerDecl

__all__ = ["OperatorsFile", "Policy", "Service", "StandingWork", "Team", "WorkerDecl"]
