"""One step of a job at one of its times."""

from attrs import define, field, frozen

__all__ = ["StepState", "Ticket"]


@frozen(kw_only=True)
class Ticket:
    """Hold a policy's permission for a worker; `until_ms` is on the steady clock."""

    text: str
    until_ms: float


@define(kw_only=True, eq=False)
class StepState:
    """Follow the tasks of a step at one occurrence of its job.

    Units: `*_ms` on the steady clock.
    """

    job: object
    occurrence: int
    index: int
    spec: object
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
    denied_ms: float = 0.0
    repeated_requests: int = 0
    _waiting: list | None = None
    advice_asked: bool = False
    advice_wanted_ms: float = 0.0
    denials_in_row: int = 0
    advice_not_before_ms: float = 0.0

    @property
    def name(self):
        """Return the name that the advice service knows the step by."""
        return f"{self.job.job_id}.{self.occurrence}.{self.index}"

    @property
    def is_done(self):
        """Tell whether every task has ended well."""
        return self.tasks_remaining == 0

    @property
    def waiting(self):
        """Return the tasks that have to be started."""
        if self._waiting is None:
            self._waiting = [task for task in self.tasks if task.is_waiting]
        return self._waiting

    def longest_wait_ms(self, now_ms):
        """Return for how long a task has waited since its turn or its last run."""
        if not self.ready:
            return 0.0
        since_ms = [max(self.ready_ms, task.last_lost_ms) for task in self.waiting]
        return now_ms - min(since_ms, default=now_ms)

    def invalidate_waiting(self):
        """Note that a task was started, lost a run or ended."""
        self._waiting = None

    def members(self, run_id):
        """Return the runs that a run number has now, over all tasks."""
        return [run for task in self.tasks for run in task.runs if run.run_id == run_id]

    def is_gang_complete(self, run_id):
        """Tell whether all members of a gang were seen on their workers.

        Their work begins once all are present, so progress of one tells the same.
        """
        members = self.members(run_id)
        if any(run.percent > 0 for run in members):
            return True
        return len(members) == len(self.tasks) and all(run.is_live for run in members)

    def runs_per_worker(self):
        """Return how many runs of the step each worker holds, by worker id."""
        counts = {}
        for task in self.tasks:
            for run in task.runs:
                worker_id = run.worker.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts

    def ticket_for(self, worker_id, now_ms):
        """Return the text of a ticket that is still valid, or None."""
        ticket = self.tickets.get(worker_id)
        if ticket is None or ticket.until_ms <= now_ms:
            return None
        return ticket.text
