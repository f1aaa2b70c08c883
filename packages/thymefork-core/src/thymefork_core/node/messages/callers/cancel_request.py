"""CancelRequest: bring a caller's wish to cancel works."""

from attrs import frozen

__all__ = ["CancelRequest"]


@frozen(kw_only=True)
class CancelRequest:
    """Bring a caller's wish to cancel works."""

    request_id: str
    work_ids: tuple[str, ...]
