"""MemberLine: hold one instance as this one sees it."""

from attrs import frozen

__all__ = ["MemberLine"]


@frozen(kw_only=True)
class MemberLine:
    """Hold one instance as this one sees it."""

    name: str
    hall: str
    live: bool
    leaving: bool
    log_down: bool
    config_version: int
