"""Client accounts: their limits and shares."""

from .quotas import Quotas
from .shares import Shares

__all__ = ["Quotas", "Shares"]
