"""Client accounts: their limits and shares."""

from .quotas import Quotas
from .shares import Shares
from .used_shares import UsedShares

__all__ = ["Quotas", "Shares", "UsedShares"]
