"""Specifications of jobs, queues, accounts and workers."""

from .account_policy import AccountPolicy, ResourceLimit
from .bounds import Bounds
from .configuration import Configuration, key_digest
from .job_spec import JobSpec
from .limit_parts import PARTS_PER_CELL, LimitParts
from .queue_policy import AdvicePolicy, QueuePolicy
from .record_limits import RecordLimits
from .service_policy import ServicePolicy
from .step_spec import StepSpec
from .worker_entry import WorkerEntry

__all__ = [
    "PARTS_PER_CELL",
    "AccountPolicy",
    "AdvicePolicy",
    "Bounds",
    "Configuration",
    "JobSpec",
    "LimitParts",
    "QueuePolicy",
    "RecordLimits",
    "ResourceLimit",
    "ServicePolicy",
    "StepSpec",
    "WorkerEntry",
    "key_digest",
]
