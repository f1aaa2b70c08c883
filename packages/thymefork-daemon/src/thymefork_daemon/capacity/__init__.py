"""Capacity and current load of an instance as an owner of cells."""

from .handover_policy import HandoverPolicy
from .load_shedding import LoadShedder, SheddableWork
from .local_status import LocalStatus
from .member_status import MemberStatus
from .owner_capacity import OwnerCapacity
from .owner_load import OwnerLoad, Pressure
from .tier import Tier

__all__ = [
    "HandoverPolicy",
    "LoadShedder",
    "LocalStatus",
    "MemberStatus",
    "OwnerCapacity",
    "OwnerLoad",
    "Pressure",
    "SheddableWork",
    "Tier",
]
