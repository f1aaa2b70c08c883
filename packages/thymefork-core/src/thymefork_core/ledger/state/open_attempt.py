"""OpenAttempt: hold an attempt that may be running."""

from attrs import frozen

from thymefork_core.model import Resources

__all__ = ["OpenAttempt"]


@frozen(kw_only=True)
class OpenAttempt:
    """Hold an attempt that may be running."""

    work_id: str
    task: int
    attempt: int
    worker: str
    resources: Resources
    team: str
    at_most_once: bool

    @property
    def attempt_id(self):
        """Name the attempt towards workers."""
        return f"{self.work_id}/{self.task}/{self.attempt}"
