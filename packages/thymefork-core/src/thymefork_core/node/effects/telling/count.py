"""Count: raise the counter of a refusal or retry reason."""

from attrs import frozen

from thymefork_core.reasons import Reason, Retry

__all__ = ["Count"]


@frozen(kw_only=True)
class Count:
    """Raise the counter of a refusal or retry reason."""

    reason: Reason | Retry
