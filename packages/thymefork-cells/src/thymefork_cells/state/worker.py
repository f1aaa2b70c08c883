"""One incarnation of a worker, as the owner of its cell sees it."""

from attrs import define, field

from .worker_health import WorkerHealth

__all__ = ["Worker"]

# Fences reserved for the incarnations of a worker under one owner.
FENCES_PER_EPOCH = 1 << 20
# By how much a worker's steady clock may be slow, with some allowance.
MAX_CLOCK_DRIFT = 0.025
# A worker has no contact after this many unanswered polls in a row. Leases are renewed
# only by polls that follow an answered one, so that the tasks of a worker that falls
# silent can soon start elsewhere.
MAX_UNANSWERED_POLLS = 2
# A suspect worker that does not answer a poll for this long is unresponsive.
UNRESPONSIVE_AFTER_MS = 100.0
# A worker this many times slower than the average counts as faulty.
FAR_SLOWER_FACTOR = 4.0


@define(kw_only=True, eq=False)
class Worker:
    """Track a worker's capacity, clock, leases and contact.

    `born_epoch_ms` identifies the incarnation, 0 while unknown; `incarnation_number`
    counts the incarnations that this owner tracked before, `tracked_since_ms` is when
    it began to track this one. `has_reported` is set once the worker has reported its
    runs under the present owner's fence; nothing is placed on it before.

    `may_run_until_ms` bounds the leases of this owner, `inherited_until_ms` those of
    all owners before it, `extended_lease_until_ms` any lease sent to an earlier
    incarnation. `lease_sent_ms` is when a lease was last sent, `leases_expired_ms` when
    all leases were last presumed expired. With `has_short_leases`, possible next owners
    were told that this owner gives only short ones; `is_announced_leaving` is set if
    the previous owner told so. It `is_recorded` if next owners will find it in the
    store.

    `answered_poll_ms` is when the latest answered poll was sent: a paused process may
    read the answer much later. One that is sent at `answer_needed_ms` or later has to
    be answered. It is polled without runs, too, until `watched_until_ms`.
    `unanswered_since_ms` is when the first of the latest unanswered polls timed out, 0
    if the last was answered. `unlisted_since_ms` is when the worker left
    the platform's list. `received_end`, `stored_end` and `acknowledged_end` are the
    highest run end numbers that were received, stored, and confirmed to the worker; it
    `has_unlisted_ends` if its last report did not list all the others.
    `outdated_reports_in_row` counts reports of an earlier incarnation. `stopped` holds
    the runs whose stop was answered and whose end was not reported yet.

    Units: `*_ms` on the steady clock; `clock_offset_ms` added to the steady clock gave
    the worker's clock at `clock_read_ms`.
    """

    entry: object
    born_epoch_ms: int = 0
    incarnation_number: int = 0
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
    clock_read_ms: float = 0.0
    last_clock_ms: int = 0
    has_short_leases: bool = False
    is_recorded: bool = False
    is_announced_leaving: bool = False
    may_run_until_ms: float = 0.0
    inherited_until_ms: float = 0.0
    last_answer_ms: float = 0.0
    answered_poll_ms: float = 0.0
    poll_sent_ms: float = 0.0
    quick_poll_sent_ms: float = 0.0
    answer_needed_ms: float = 0.0
    watched_until_ms: float = 0.0
    stop_answered_ms: float = 0.0
    unanswered_in_row: int = 0
    unanswered_since_ms: float = 0.0
    unlisted_since_ms: float = 0.0
    leases_expired_ms: float = 0.0
    lease_sent_ms: float = 0.0
    extended_lease_until_ms: float = 0.0
    suspected_ms: float = 0.0
    slow_pause_until_ms: float = 0.0
    poll_due_ms: float = 0.0
    is_polling: bool = False
    is_quick_polling: bool = False
    is_storing_ends: bool = False
    has_unlisted_ends: bool = False
    received_end: int = 0
    stored_end: int = 0
    acknowledged_end: int = 0
    outdated_reports_in_row: int = 0
    health: WorkerHealth = field(factory=lambda: WorkerHealth())
    isolation: object = None
    slowness: float = 1.0

    @property
    def is_far_slower(self):
        """Return whether it is permanently slower than healthy workers may be."""
        return self.slowness > FAR_SLOWER_FACTOR

    @property
    def is_least_preferred(self):
        """Return whether it gets work only if no other worker has capacity."""
        return self.health.failures_in_row > 0 or self.is_far_slower

    @property
    def healthy_slowness(self):
        """Return its slowness while healthy.

        A far slower worker counts as a faulty one of ordinary speed.
        """
        return 1.0 if self.is_far_slower else self.slowness

    @property
    def machine(self):
        """Return the id of its machine, which all its incarnations share."""
        return self.entry.machine_id or self.worker_id

    @property
    def worker_id(self):
        """Return the id, which later incarnations may share."""
        return self.entry.worker_id

    @property
    def incarnation(self):
        """Return the identifier of this incarnation."""
        return (self.worker_id, self.born_epoch_ms)

    def fence(self, epoch):
        """Return the fence of an owner's commands to this incarnation.

        It rises with each incarnation, so that a new one rejects delayed commands to
        the one before: it does not know the runs that were stopped there.
        """
        return epoch * FENCES_PER_EPOCH + self.incarnation_number

    @property
    def runs_until_ms(self):
        """Return until when runs may continue here without another lease."""
        return max(self.may_run_until_ms, self.inherited_until_ms)

    def add(self, run):
        """Add a run and its resources."""
        self.runs[run.key] = run
        step = run.step
        run.task.step.job.usage.add(step)
        self.held_cpu_milli += step.reserved_cpu_milli
        self.held_memory_mb += step.memory_mb
        self.held_accelerators += step.accelerators

    def remove(self, run):
        """Remove a run and free its resources."""
        if self.runs.pop(run.key, None) is None:
            return
        self.stopped.discard(run.key)
        self._end_isolation(run.task.step.job)
        step = run.step
        run.task.step.job.usage.remove(step)
        self.held_cpu_milli -= step.reserved_cpu_milli
        self.held_memory_mb -= step.memory_mb
        self.held_accelerators -= step.accelerators

    def _end_isolation(self, job):
        """End a job's isolation once none of its runs is left here."""
        if self.isolation is None or self.isolation.job is not job:
            return
        if all(run.task.step.job is not job for run in self.runs.values()):
            self.isolation = None

    def runs_of_others(self, job):
        """Return the runs of all other jobs."""
        return [run for run in self.runs.values() if run.task.step.job is not job]

    def admits(self, job, now_ms):
        """Return whether the isolation, if any, allows a job's tasks."""
        isolation = self.isolation
        return isolation is None or isolation.job is job or now_ms >= isolation.until_ms

    @property
    def free_cpu_milli(self):
        """Return the free cpu; negative after the worker shrank."""
        return self.entry.cpu_milli - self.held_cpu_milli

    @property
    def free_memory_mb(self):
        """Return the free memory; negative after the worker shrank."""
        return self.entry.memory_mb - self.held_memory_mb

    @property
    def free_accelerators(self):
        """Return the free accelerators; negative after the worker shrank."""
        return self.entry.accelerators - self.held_accelerators

    @property
    def is_overcommitted(self):
        """Return whether its runs exceed its capacity after it shrank."""
        free = (self.free_cpu_milli, self.free_memory_mb, self.free_accelerators)
        return min(free) < 0

    def has_capacity(self, spec):
        """Return whether one more task of a step with this spec fits."""
        return (
            spec.reserved_cpu_milli <= self.free_cpu_milli
            and spec.memory_mb <= self.free_memory_mb
            and spec.accelerators <= self.free_accelerators
        )

    def fits_when_empty(self, spec):
        """Return whether a task of a step with this spec fits on the empty worker."""
        return (
            spec.reserved_cpu_milli <= self.entry.cpu_milli
            and spec.memory_mb <= self.entry.memory_mb
            and spec.accelerators <= self.entry.accelerators
        )

    @property
    def is_leaving(self):
        """Return whether it drains, or was removed from the list while alive.

        An owner before this one may have announced that it drains.
        The entry of a crashed worker disappears only after it has stopped answering. An
        entry that lapsed in an outage tells nothing.
        """
        if self.entry.draining or (self.is_announced_leaving and not self.is_listed):
            return True
        if self.entry.born_epoch_ms not in (0, self.born_epoch_ms):
            return False
        return not self.entry.is_lapsed and self.answers_unlisted

    @property
    def has_answered(self):
        """Return whether it has answered a poll, and so accepted this owner's fence."""
        return self.clock_offset_ms is not None

    @property
    def needs_answer(self):
        """Return whether a poll sent by now has to be answered."""
        return self.answered_poll_ms < self.answer_needed_ms

    def is_watched(self, now_ms):
        """Return whether its restart would have to be noticed at once."""
        return now_ms < self.watched_until_ms

    @property
    def answers_unlisted(self):
        """Return whether it has answered since it was missing from the list."""
        return not self.is_listed and self.last_answer_ms > self.unlisted_since_ms

    def heard_ms_ago(self, now_ms):
        """Return the time since its last answer, None if it never answered."""
        return round(now_ms - self.last_answer_ms) if self.last_answer_ms else None

    def clock_ms(self, now_ms):
        """Return the earliest time that the worker's clock may show, None if unknown.

        The clock may be slow, so a deadline by an old reading would be too late.
        """
        if self.clock_offset_ms is None:
            return None
        drift_ms = MAX_CLOCK_DRIFT * (now_ms - self.clock_read_ms)
        return now_ms + self.clock_offset_ms - drift_ms

    def read_clock(self, clock_ms, now_ms):
        """Apply a reading of the worker's clock, unless a later one is known."""
        earliest_ms = self.clock_ms(now_ms)
        if earliest_ms is None or clock_ms > earliest_ms:
            self.clock_offset_ms = clock_ms - now_ms
            self.clock_read_ms = now_ms

    @property
    def has_no_contact(self):
        """Return whether it can't be asked, or several polls in a row got no answer."""
        return self.unanswered_in_row >= MAX_UNANSWERED_POLLS or not self.entry.host

    @property
    def is_suspect(self):
        """Return whether it has not answered since it, or its hall, became suspect."""
        return self.unanswered_in_row > 0 or self.last_answer_ms < self.suspected_ms

    def is_unresponsive(self, now_ms):
        """Return whether it was polled as a suspect and did not answer in time."""
        if self.unanswered_in_row:
            return True
        is_suspected = self.last_answer_ms < self.suspected_ms
        return is_suspected and now_ms - self.suspected_ms > UNRESPONSIVE_AFTER_MS
