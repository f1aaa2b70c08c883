"""ConfigPull: ask for a version that is newer than one's own."""

from attrs import frozen

__all__ = ["ConfigPull"]


@frozen(kw_only=True)
class ConfigPull:
    """Ask for a version that is newer than one's own."""

    above_version: int
