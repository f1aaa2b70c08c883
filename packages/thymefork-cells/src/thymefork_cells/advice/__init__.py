"""Request tickets for workers from the advice service."""

from .requester import AdviceRequester
from .worker_selection import ApprovalRates, choose_workers, has_enough_tickets

__all__ = ["AdviceRequester", "ApprovalRates", "choose_workers", "has_enough_tickets"]
