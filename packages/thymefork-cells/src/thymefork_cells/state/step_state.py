"""One step of a job in one of its occurrences."""

from attrs import define, field, frozen

__all__ = ["StepState", "Ticket"]

# A step that fails on a single worker may be right, and the worker faulty.
MIN_FAILED_WORKERS = 2


@frozen(kw_only=True)
class Ticket:
    """Permission of the advice service to run a step on a worker.

    Units: `until_ms` on the steady clock.
    """

    text: str
    until_ms: float


@define(kw_only=True, eq=False)
class StepState:
    """Track the tasks of a step in one occurrence of its job.

    `failed_tasks` and `failed_worker_ids` tell which tasks have failed and where,
    `has_success` whether any run has succeeded.

    `tickets` maps worker ids to tickets; `allowed` and `denied` are the ids of workers
    whose use the advice service has allowed or denied, `allowed` is None before the
    first answer. `denials_cleared_ms` is when `denied` was last cleared for new calls,
    `denial_reset_count` how often it was. `advice_asked` is set while a call is in
    flight, `advice_wanted_ms` is when a call was first wanted, 0 if none is.
    `gang_failed_run` is the number of the last failed gang run. `first_task_number` is
    the number of the job's tasks in the steps before.

    Units: `*_ms` on the steady clock.
    """

    job: object
    occurrence: int
    index: int
    spec: object
    first_task_number: int = 0
    tasks: list = field(factory=list)
    tasks_remaining: int = 0
    ready: bool = False
    ready_ms: float = 0.0
    wait_logged_ms: float = 0.0
    preempt_not_before_ms: float = 0.0
    gang_failures: int = 0
    gang_failed_run: int = 0
    tickets: dict = field(factory=dict)
    allowed: set | None = None
    denied: set = field(factory=set)
    denials_cleared_ms: float = 0.0
    denial_reset_count: int = 0
    _waiting: list | None = None
    advice_asked: bool = False
    advice_wanted_ms: float = 0.0
    denials_in_row: int = 0
    failed_tasks: set = field(factory=set)
    failed_worker_ids: set = field(factory=set)
    has_success: bool = False
    advice_not_before_ms: float = 0.0

    @property
    def name(self):
        """Return the name under which the advice service knows the step."""
        return f"{self.job.job_id}.{self.occurrence}.{self.index}"

    @property
    def is_done(self):
        """Return whether every task has succeeded."""
        return self.tasks_remaining == 0

    @property
    def fails_everywhere(self):
        """Return whether most tasks have failed, on several workers, and none is done.

        Such failures say nothing about the workers.
        """
        if self.has_success or len(self.failed_worker_ids) < MIN_FAILED_WORKERS:
            return False
        return len(self.failed_tasks) > len(self.tasks) / 2

    def record_failure(self, task, worker_id):
        """Record a failed run; return whether the step turns out to fail everywhere."""
        if self.fails_everywhere:
            return False
        self.failed_tasks.add(task.index)
        self.failed_worker_ids.add(worker_id)
        return self.fails_everywhere

    @property
    def waiting(self):
        """Return the tasks that have to be started."""
        if self._waiting is None:
            self._waiting = [task for task in self.tasks if task.is_waiting]
        return self._waiting

    def longest_wait_ms(self, now_ms):
        """Return the longest wait of a task since it was ready or lost a run."""
        return max((task.idle_ms(now_ms) for task in self.waiting), default=0.0)

    def invalidate_waiting(self):
        """Clear the cached waiting tasks after a task was started or lost a run."""
        self._waiting = None

    def members(self, run_id):
        """Return the runs of all tasks that have this run number."""
        return [run for task in self.tasks for run in task.runs if run.run_id == run_id]

    def is_gang_complete(self, run_id):
        """Return whether all members of a gang were seen on their workers.

        A gang begins work once all are present, so progress of one member is enough.
        """
        members = self.members(run_id)
        if any(run.percent > 0 for run in members):
            return True
        return len(members) == len(self.tasks) and all(run.is_live for run in members)

    def runs_per_worker(self):
        """Return the number of the step's runs by worker id."""
        counts = {}
        for task in self.tasks:
            for run in task.runs:
                worker_id = run.worker.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts

    def ticket_for(self, worker_id, now_ms):
        """Return the text of a valid ticket, or None."""
        ticket = self.tickets.get(worker_id)
        if ticket is None or ticket.until_ms <= now_ms:
            return None
        return ticket.text
