"""How well an instance can own cells, and how much its cells ask of it now."""

from .handover_rule import HandoverRule
from .member_status import MemberStatus
from .own_status import OwnStatus
from .owner_load import OwnerLoad, Pressure
from .owning_capacity import OwningCapacity
from .shedding import Sheddable, Shedding
from .tier import Tier

__all__ = [
    "HandoverRule",
    "MemberStatus",
    "OwnStatus",
    "OwnerLoad",
    "OwningCapacity",
    "Pressure",
    "Sheddable",
    "Shedding",
    "Tier",
]
