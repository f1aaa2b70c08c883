"""One life of a worker, as the owner of its cell sees it."""

from attrs import define, field

from .worker_health import WorkerHealth

__all__ = ["Worker"]

# Fences of one owner: the next owner's are above all that it may give to the lives of a
# worker, which crashes and comes back within a second at the quickest.
FENCES_PER_EPOCH = 1 << 20
# A worker answers a look in 1.5 to 3.5 ms; one that was asked this long ago is silent.
SILENT_MS = 100.0
# Sound workers of one service differ by two to three times; one that is this many times
# slower than the average is sick, also if it is always so.
FAR_SLOWER_FACTOR = 4.0


@define(kw_only=True, eq=False)
class Worker:
    """Follow a worker's room, clock, leases and contact.

    Units: `*_ms` on the steady clock; `clock_offset_ms` added to the steady clock
    gives the worker's clock. `may_run_until_ms` bounds what this owner has allowed
    to run, `inherited_until_ms` what its predecessor had. `has_reported` turns true once
    the worker has listed what runs on it under the present owner's fence; before that,
    nothing is placed on it. `answered_poll_ms` is when the latest answered look was sent: the
    answer may be read much later, by a process that was paused. `unanswered_since_ms` is when the
    first of the last looks without an answer was given up, 0 if the last was answered;
    `unlisted_since_ms` is when the platform's list had it no more, `leases_expired_ms` when its
    leases were thought over, `lease_sent_ms` when a lease was sent last;
    `extended_lease_until_ms` bounds what a lease for an earlier life may allow.
    `outdated_reports_in_row` counts the listings since the last one that counted that were
    set aside as older.
    `born_epoch_ms` tells its lives apart, 0 while none was told of; `number` counts
    those that its owner has followed before, `tracked_since_ms` is when it came to follow
    this one. `stopped` holds the runs whose stop was answered and whose end is still to
    be seen.
    """

    entry: object
    born_epoch_ms: int = 0
    number: int = 0
    tracked_since_ms: float = 0.0
    is_over: bool = False
    held_cpu_milli: int = 0
    held_memory_mb: int = 0
    held_accelerators: int = 0
    runs: dict = field(factory=dict)
    orphaned_runs: set = field(factory=set)
    stopped: set = field(factory=set)
    has_reported: bool = False
    is_listed: bool = True
    leaves_at_ms: float = 0.0
    clock_offset_ms: float | None = None
    last_clock_ms: int = 0
    may_run_until_ms: float = 0.0
    inherited_until_ms: float = 0.0
    last_answer_ms: float = 0.0
    answered_poll_ms: float = 0.0
    poll_sent_ms: float = 0.0
    quick_poll_sent_ms: float = 0.0
    stop_answered_ms: float = 0.0
    unanswered_in_row: int = 0
    unanswered_since_ms: float = 0.0
    unlisted_since_ms: float = 0.0
    leases_expired_ms: float = 0.0
    lease_sent_ms: float = 0.0
    extended_lease_until_ms: float = 0.0
    suspected_ms: float = 0.0
    slow_until_ms: float = 0.0
    poll_due_ms: float = 0.0
    is_polling: bool = False
    is_quick_polling: bool = False
    storing_ends: bool = False
    heard_end: int = 0
    stored_end: int = 0
    acknowledged_end: int = 0
    outdated_reports_in_row: int = 0
    health: WorkerHealth = field(factory=lambda: WorkerHealth())
    isolation: object = None
    slowness: float = 1.0

    @property
    def is_far_slower(self):
        """Tell whether it is slower, for good, than sound workers differ by."""
        return self.slowness > FAR_SLOWER_FACTOR

    @property
    def is_least_preferred(self):
        """Tell whether it is to be given work only if no other has room."""
        return self.health.failures_in_row > 0 or self.is_far_slower

    @property
    def healthy_slowness(self):
        """Return how much longer than ordinary its runs take while it is sound.

        What is far slower for good is judged as an ordinary worker that is sick.
        """
        return 1.0 if self.is_far_slower else self.slowness

    @property
    def machine(self):
        """Return what names the machine under it, over its lives."""
        return self.entry.machine_id or self.worker_id

    @property
    def worker_id(self):
        """Return the id, which a later life may have, too."""
        return self.entry.worker_id

    @property
    def incarnation(self):
        """Return what tells this life from all others."""
        return (self.worker_id, self.born_epoch_ms)

    def fence(self, epoch):
        """Return the fence that an owner's orders to this life carry.

        It rises with each life, so that no order to the one before is carried out once
        the new life has heard of this owner: it knows no run that was stopped before.
        """
        return epoch * FENCES_PER_EPOCH + self.number

    @property
    def runs_until_ms(self):
        """Return until when something may run here without another lease."""
        return max(self.may_run_until_ms, self.inherited_until_ms)

    def add(self, run):
        """Take a run's room."""
        self.runs[run.key] = run
        step = run.step
        run.task.step.job.usage.add(step)
        self.held_cpu_milli += step.reserved_cpu_milli
        self.held_memory_mb += step.memory_mb
        self.held_accelerators += step.accelerators

    def remove(self, run):
        """Free a run's room."""
        if self.runs.pop(run.key, None) is None:
            return
        self.stopped.discard(run.key)
        self._end_trial(run.task.step.job)
        step = run.step
        run.task.step.job.usage.remove(step)
        self.held_cpu_milli -= step.reserved_cpu_milli
        self.held_memory_mb -= step.memory_mb
        self.held_accelerators -= step.accelerators

    def _end_trial(self, job):
        """End the trial of a job's tasks once none of them is left here."""
        if self.isolation is None or self.isolation.job is not job:
            return
        if all(run.task.step.job is not job for run in self.runs.values()):
            self.isolation = None

    def runs_of_others(self, job):
        """Return the runs here that are of other jobs."""
        return [run for run in self.runs.values() if run.task.step.job is not job]

    def admits(self, job, now_ms):
        """Tell whether a job's tasks may start beside what is tried here."""
        isolation = self.isolation
        return isolation is None or isolation.job is job or now_ms >= isolation.until_ms

    @property
    def free_cpu_milli(self):
        """Return the processor share that is free, below 0 once it has shrunk."""
        return self.entry.cpu_milli - self.held_cpu_milli

    @property
    def free_memory_mb(self):
        """Return the memory that is free, below 0 once it has shrunk."""
        return self.entry.memory_mb - self.held_memory_mb

    @property
    def free_accelerators(self):
        """Return the accelerators that are free, below 0 once it has shrunk."""
        return self.entry.accelerators - self.held_accelerators

    @property
    def is_overcommitted(self):
        """Tell whether its runs hold more than it has, since it has shrunk."""
        free = (self.free_cpu_milli, self.free_memory_mb, self.free_accelerators)
        return min(free) < 0

    def has_capacity(self, step):
        """Tell whether one more task of the step fits."""
        return (
            step.reserved_cpu_milli <= self.free_cpu_milli
            and step.memory_mb <= self.free_memory_mb
            and step.accelerators <= self.free_accelerators
        )

    def fits_when_empty(self, step):
        """Tell whether a task of the step fits into the empty worker."""
        return (
            step.reserved_cpu_milli <= self.entry.cpu_milli
            and step.memory_mb <= self.entry.memory_mb
            and step.accelerators <= self.entry.accelerators
        )

    @property
    def is_leaving(self):
        """Tell whether its end is planned: it says so, or answered while unlisted.

        The entry of a worker that crashes goes only after it has fallen silent, and
        that of its next life may still have to come.
        """
        if self.entry.draining:
            return True
        if self.entry.born_epoch_ms not in (0, self.born_epoch_ms):
            return False
        return not self.is_listed and self.last_answer_ms > self.unlisted_since_ms

    def heard_ms_ago(self, now_ms):
        """Return how long ago it last answered; None if it never did."""
        return round(now_ms - self.last_answer_ms) if self.last_answer_ms else None

    def clock_ms(self, now_ms):
        """Return the worker's clock by the last answer; None if it never answered."""
        if self.clock_offset_ms is None:
            return None
        return now_ms + self.clock_offset_ms

    @property
    def is_suspect(self):
        """Tell whether it has not answered since it, or its hall, fell silent."""
        return self.unanswered_in_row > 0 or self.last_answer_ms < self.suspected_ms

    def is_silent(self, now_ms):
        """Tell whether it was asked because of a doubt and has not answered soon."""
        if self.unanswered_in_row:
            return True
        in_doubt = self.last_answer_ms < self.suspected_ms
        return in_doubt and now_ms - self.suspected_ms > SILENT_MS
