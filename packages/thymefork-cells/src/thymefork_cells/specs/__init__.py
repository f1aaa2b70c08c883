"""What callers, operators and workers say of jobs, queues and workers."""

from .account_policy import AccountPolicy, RoomLimit
from .bounds import Bounds
from .configuration import Configuration, key_digest
from .job_spec import JobSpec
from .queue_policy import AdvicePolicy, QueuePolicy
from .service_policy import ServicePolicy
from .step_spec import StepSpec
from .worker_entry import WorkerEntry

__all__ = [
    "AccountPolicy",
    "AdvicePolicy",
    "Bounds",
    "Configuration",
    "JobSpec",
    "QueuePolicy",
    "RoomLimit",
    "ServicePolicy",
    "StepSpec",
    "WorkerEntry",
    "key_digest",
]
