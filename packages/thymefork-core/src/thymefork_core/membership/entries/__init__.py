"""What is known of another entry instance."""

from .instance_entry import InstanceEntry
from .instance_state import InstanceState
from .member import Member
from .worker_entry import WorkerEntry

__all__ = ["InstanceEntry", "InstanceState", "Member", "WorkerEntry"]
