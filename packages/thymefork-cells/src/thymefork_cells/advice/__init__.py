"""Advice: which workers a policy is asked about."""

from .choice import AllowedShares, choose_workers, has_tickets_to_wait
from .desk import AdviceDesk

__all__ = ["AdviceDesk", "AllowedShares", "choose_workers", "has_tickets_to_wait"]
