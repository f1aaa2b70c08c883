"""Accept: accept a piece of work; the author is its home."""

from attrs import frozen

from thymefork_core.model import WorkSpec

__all__ = ["Accept"]


@frozen(kw_only=True)
class Accept:
    """Accept a piece of work; the author is its home."""

    hall: str
    spec: WorkSpec
