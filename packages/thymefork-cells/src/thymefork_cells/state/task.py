"""One task of a step."""

from attrs import define, field

from .worker_loss import have_similar_timing

__all__ = ["Task"]

# More copies than this of one task would waste more than they save.
MAX_COPIES = 3
# A task gets no copy once this many workers seem to be lost under it.
MAX_SUSPECTED_CRASHES = 2


@define(kw_only=True, eq=False)
class Task:
    """Follow a task through its runs.

    `run_count` is the highest run number used; run numbers only rise. `worked_ms` is
    how long the run that ended well would have taken on an ordinary worker, 0 if
    another owner saw its start. `expired_runs`
    holds the runs whose leases were thought over before their end was heard; `losses`
    holds the workers that were lost under it, by their lives.
    """

    step: object
    index: int
    name: str
    run_count: int = 0
    failures: int = 0
    checkpoint: str = ""
    done: bool = False
    worked_ms: float = 0.0
    runs: list = field(factory=list)
    stalls: int = 0
    expired_runs: set = field(factory=set)
    avoided_workers: set = field(factory=set)
    last_lost_ms: float = 0.0
    losses: dict = field(factory=dict)

    @property
    def is_waiting(self):
        """Tell whether the task has to be started and nothing of it may run."""
        return not self.done and not self.runs

    def suspected_crashes(self, now_ms):
        """Return how many workers it may have crashed, one that is silent included.

        That a silent one was crashed is known only once its machine is back, or its
        leases are over, 3 s later. Counted then alone, a task that may have copies
        crashed three workers within 90 ms. A run that was at work for longer before its
        worker fell silent is most likely cut off, and its copies are wanted.
        """
        return len(self.losses) + sum(run.may_have_crashed(now_ms) for run in self.runs)

    @property
    def may_crash_workers(self):
        """Tell whether its losses, if any, speak for its doing."""
        if len(self.losses) == 1:
            return any(loss.was_early for loss in self.losses.values())
        return bool(self.losses) and have_similar_timing(self.losses.values())

    def wants_copy(self, is_behind, now_ms):
        """Tell whether a further run may, and should, go beside those that exist.

        `is_behind` tells of a run whether a new one would end sooner; copies are for
        steps that allow them, where no run is likely to end in time. A task under which
        two workers seem lost has one run at a time.
        """
        if self.done or not self.runs or not self.step.spec.speculative:
            return False
        if (
            len(self.runs) >= MAX_COPIES
            or self.suspected_crashes(now_ms) >= MAX_SUSPECTED_CRASHES
        ):
            return False
        return all(not run.is_active or is_behind(run) for run in self.runs)

    @property
    def active_run(self):
        """Return a run that works towards the task's end, or None."""
        for run in self.runs:
            if run.is_active:
                return run
        return None
