"""Resource limits and fair shares of client accounts."""

from .dominant_shares import DominantShares
from .job_rate_shares import JobRateShares
from .part_exchange import PartExchange
from .parts_ledger import PartsLedger
from .quotas import Quotas

__all__ = ["DominantShares", "JobRateShares", "PartExchange", "PartsLedger", "Quotas"]
