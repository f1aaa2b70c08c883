"""CallerGone: tell that a caller left before its answer."""

from attrs import frozen

__all__ = ["CallerGone"]


@frozen(kw_only=True)
class CallerGone:
    """Tell that a caller left before its answer."""

    request_id: str
