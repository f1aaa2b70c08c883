"""CancelForm: hold the ids of works to cancel."""

from attrs import frozen

__all__ = ["CancelForm"]


@frozen(kw_only=True)
class CancelForm:
    """Hold the ids of works to cancel."""

    work_ids: tuple[str, ...]
