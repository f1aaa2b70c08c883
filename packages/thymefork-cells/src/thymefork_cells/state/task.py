"""One task of a step."""

from attrs import define, field

from .worker_loss import have_similar_timing

__all__ = ["Task"]

# How long a task waits for another worker before it returns to one that it avoids.
AVOIDANCE_MS = 1_000.0
# Most runs of one task at a time, speculative copies included.
MAX_COPIES = 3
# After this many unanswered starts on one worker in a row a task waits for another one.
MAX_REPEATS_ON_WORKER = 3
# A task gets no copy once it may have crashed this many workers.
MAX_SUSPECTED_CRASHES = 2


@define(kw_only=True, eq=False)
class Task:
    """Track a task and its runs.

    `run_count` is the highest run number used; run numbers only rise. `worked_ms` is
    the duration of the successful run, normalized to a worker of ordinary speed, 0 if
    another owner started it. `expired_runs` holds the runs presumed dead when their
    leases expired without a reported end; `losses` maps worker incarnations to losses.
    `delayed_starts` holds the starts of released runs that may yet arrive at a later
    incarnation of their worker.
    `avoided_workers` holds the ids of workers that are used only if no other can be,
    from `may_return_ms` on also if no other has room.
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
    delayed_starts: list = field(factory=list)
    stalls: int = 0
    expired_runs: set = field(factory=set)
    avoided_workers: set = field(factory=set)
    may_return_ms: float = 0.0
    last_lost_ms: float = 0.0
    losses: dict = field(factory=dict)

    @property
    def is_waiting(self):
        """Return whether the task is not done and no run of it may exist."""
        return not self.done and not self.runs and not self.is_held

    @property
    def number(self):
        """Return its position among all tasks of its job."""
        return self.step.first_task_number + self.index

    @property
    def failed_attempts(self):
        """Return how many attempts have failed, of the whole gang if it is in one."""
        return self.step.gang_failures if self.step.spec.gang else self.failures

    @property
    def is_held(self):
        """Return whether its delayed starts keep it from starting on any worker."""
        if not self.delayed_starts:
            return False
        binding = [start for start in self.delayed_starts if start.is_binding]
        if len(binding) > MAX_REPEATS_ON_WORKER:
            return True
        return len({start.worker_id for start in binding}) > 1

    @property
    def required_worker_id(self):
        """Return the id of the only worker on which it may start, empty if any may."""
        binding = (start.worker_id for start in self.delayed_starts if start.is_binding)
        return next(binding, "")

    def may_repeat_on(self, worker):
        """Return whether it may start on the worker that its delayed starts require."""
        return all(
            start.worker_id == worker.worker_id
            and start.born_epoch_ms in (0, worker.born_epoch_ms)
            for start in self.delayed_starts
            if start.is_binding
        )

    @property
    def preferred_worker_id(self):
        """Return the id of the worker on which it should start, or an empty string.

        One that may crash its workers is rather kept away from a worker that is back,
        and the copies of one that may run twice from each other.
        """
        if not self.delayed_starts or self.losses or self.step.spec.speculative:
            return ""
        return self.delayed_starts[-1].worker_id

    def avoid(self, worker_id, now_ms):
        """Prefer other workers than this one."""
        self.avoided_workers.add(worker_id)
        self.may_return_ms = now_ms + AVOIDANCE_MS

    def idle_ms(self, now_ms):
        """Return how long the task has been ready without a run."""
        if not self.step.ready:
            return 0.0
        return now_ms - max(self.step.ready_ms, self.last_lost_ms)

    def suspected_crashes(self, now_ms):
        """Return how many workers it may have crashed.

        Workers that fell silent soon after the task's start count at once, before the
        crash is certain, so that copies don't crash further workers meanwhile.
        """
        return len(self.losses) + sum(run.may_have_crashed(now_ms) for run in self.runs)

    @property
    def may_crash_workers(self):
        """Return whether its losses suggest that it crashes its workers."""
        if len(self.losses) == 1:
            return any(loss.was_early for loss in self.losses.values())
        return bool(self.losses) and have_similar_timing(self.losses.values())

    def wants_copy(self, is_behind, now_ms):
        """Return whether a speculative copy should be started.

        `is_behind(run)` returns whether a new run would end sooner than an active one.
        Tasks suspected of crashing their workers get no copy.
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
        """Return the first active run, or None."""
        for run in self.runs:
            if run.is_active:
                return run
        return None
