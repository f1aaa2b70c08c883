"""Client accounts: their limits and shares."""

from .part_exchange import PartExchange
from .parts_ledger import PartsLedger
from .quotas import Quotas
from .shares import Shares
from .used_shares import UsedShares

__all__ = ["PartExchange", "PartsLedger", "Quotas", "Shares", "UsedShares"]
