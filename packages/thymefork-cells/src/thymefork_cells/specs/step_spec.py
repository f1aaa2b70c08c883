"""Specification of a step: a number of identical tasks."""

from attrs import frozen

__all__ = ["StepSpec"]


@frozen(kw_only=True)
class StepSpec:
    """Specification of the tasks of a step.

    `most_per_worker` and `most_missing` of 0 set no limit.

    Units: `cpu_milli` in thousandths of a core, memory in megabytes, times in
    milliseconds.
    """

    count: int = 1
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_tail_ms: int = 0
    fills_idle_cpu: bool = False
    most_missing: int = 0

    @property
    def reserved_cpu_milli(self):
        """Return the cpu that a task reserves on a worker."""
        return 0 if self.fills_idle_cpu else self.cpu_milli
