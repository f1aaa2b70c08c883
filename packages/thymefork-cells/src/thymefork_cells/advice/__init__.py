"""Advice: which workers a policy is asked about."""

from .requester import AdviceRequester
from .worker_selection import ApprovalRates, choose_workers, has_enough_tickets

__all__ = ["AdviceRequester", "ApprovalRates", "choose_workers", "has_enough_tickets"]
