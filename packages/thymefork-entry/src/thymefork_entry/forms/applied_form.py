"""AppliedForm: tell what became of an apply."""

from attrs import frozen

__all__ = ["AppliedForm"]


@frozen(kw_only=True)
class AppliedForm:
    """Tell what became of an apply."""

    accepted: bool
    version: int
    author: str
    reason: str = ""
