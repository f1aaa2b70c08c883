"""Logs and metrics."""

from .log_rate_limiter import ROUTINE_EVENTS, LogRateLimiter
from .logs import configure_logging
from .metrics import Metrics

__all__ = ["ROUTINE_EVENTS", "LogRateLimiter", "Metrics", "configure_logging"]
