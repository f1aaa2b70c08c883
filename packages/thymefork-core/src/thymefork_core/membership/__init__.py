"""Which entry instances there are, and what they last said."""

from .entries import InstanceEntry, InstanceState, Member, WorkerEntry
from .members import Members

__all__ = ["InstanceEntry", "InstanceState", "Member", "Members", "WorkerEntry"]
