"""Specification of a job as submitted by its caller."""

from attrs import frozen

from .step_spec import StepSpec

__all__ = ["JobSpec"]


@frozen(kw_only=True)
class JobSpec:
    """Payload for the workers, and the steps to run.

    A `repeat_count` of 0 runs the steps once, immediately.

    Units: `first_start_epoch_ms` since 1970, `interval_ms` in milliseconds.
    """

    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    repeat_count: int = 0
    first_start_epoch_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self):
        """Return how many times the steps run."""
        return self.repeat_count or 1

    @property
    def task_count(self):
        """Return the total number of tasks."""
        return self.occurrences * sum(step.count for step in self.steps)
