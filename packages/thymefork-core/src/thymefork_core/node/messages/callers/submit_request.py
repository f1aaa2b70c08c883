"""SubmitRequest: bring a caller's works; `retry` if it has sent them before."""

from attrs import frozen

from thymefork_core.model import WorkSpec

__all__ = ["SubmitRequest"]


@frozen(kw_only=True)
class SubmitRequest:
    """Bring a caller's works; `retry` if it has sent them before."""

    request_id: str
    specs: tuple[WorkSpec, ...]
    retry: bool = False
