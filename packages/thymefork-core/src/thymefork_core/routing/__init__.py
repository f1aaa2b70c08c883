"""Lookups and streams: which endpoint, how long to wait, when to retry."""

from .deadline_queue import DeadlineQueue
from .endpoint_choice import choose_endpoint, choose_for_stream
from .latency_estimate import LatencyEstimate
from .retry_budget import RetryBudget

__all__ = [
    "DeadlineQueue",
    "LatencyEstimate",
    "RetryBudget",
    "choose_endpoint",
    "choose_for_stream",
]
