"""The configuration in force, which never moves to an older version."""

from attrs import frozen

from thymefork_core.model import OperatorsFile

__all__ = ["ConfigBook", "ConfigVersion"]


@frozen(kw_only=True)
class ConfigVersion:
    """Hold one applied file with its version and who applied it.

    Source: docs/design/configuration.md.
    """

    version: int
    base: int
    author: str
    record_id: str
    file: OperatorsFile


class ConfigBook:
    """Hold the newest version seen, from the log or from a peer."""

    def __init__(self):
        self.current = None
        self.rejected = {}

    @property
    def version(self):
        """Return the number of the version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def offer_from_log(self, candidate):
        """Take a record if it is based on the version in force."""
        if self.current and candidate.record_id == self.current.record_id:
            return False
        if candidate.version != candidate.base + 1:
            return False
        if candidate.base != self.version:
            self.rejected[candidate.record_id] = self.current
            return False
        self.current = candidate
        return True

    def offer_newer(self, candidate):
        """Take a checkpoint or a peer's version if it is newer."""
        if candidate.version <= self.version:
            return False
        self.current = candidate
        return True
