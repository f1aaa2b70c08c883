"""A job that was accepted."""

from enum import StrEnum

from attrs import define, field

from .account_usage import AccountUsage
from .step_state import StepState
from .task import Task

__all__ = ["Job", "JobState"]


class JobState(StrEnum):
    """Name the states of a job that its caller sees."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Tell whether the job has ended."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


@define(kw_only=True, eq=False)
class Job:
    """Follow a job.

    `state` is what was decided, `visible_state` what is stored and so may be told.
    `usage` is what all jobs of its client account hold; `is_beyond_share` tells that
    the account had sent more than its share when the job came; `has_run` that a worker
    has told of a run of it.
    Units: `*_ms` on the steady clock.
    """

    job_id: str
    queue_name: str
    spec: object
    accepted_ms: float
    account_name: str = ""
    usage: AccountUsage = field(factory=AccountUsage)
    is_beyond_share: bool = False
    has_run: bool = False
    first_start_ms: float = 0.0
    objective_ms: float = 0.0
    state: JobState = JobState.QUEUED
    visible_state: JobState | None = None
    ended_ms: float = 0.0
    reason: str = ""
    steps: list = field(factory=list)
    waiting_replies: list = field(factory=list)

    @classmethod
    def create(cls, *, job_id, spec, now_ms, **fields):
        """Make a job with all its steps and tasks waiting."""
        job = cls(
            job_id=job_id,
            spec=spec,
            accepted_ms=now_ms,
            **fields,
        )
        for occurrence in range(spec.occurrences):
            for index, step_spec in enumerate(spec.steps):
                job.steps.append(_step_state(job, occurrence, index, step_spec))
        return job

    def step(self, occurrence, index):
        """Return the state of a step at an occurrence."""
        return self.steps[occurrence * len(self.spec.steps) + index]

    def due_ms(self, occurrence):
        """Return the steady moment at which an occurrence may start."""
        return self.first_start_ms + occurrence * self.spec.interval_ms

    def is_step_due(self, step, now_ms, early_ms=0.0):
        """Tell whether a step's tasks may be started now."""
        if now_ms + early_ms < self.due_ms(step.occurrence):
            return False
        return all(
            self.step(step.occurrence, earlier).is_done for earlier in step.spec.after
        )

    @property
    def is_live(self):
        """Tell whether the job still has something to run."""
        return not self.state.is_final

    @property
    def is_over(self):
        """Tell whether the job has ended and nothing of it may still run."""
        return self.state.is_final and not self.runs

    @property
    def runs(self):
        """Return every run that may still exist."""
        return [run for step in self.steps for task in step.tasks for run in task.runs]

    @property
    def worked_ms(self):
        """Return the longest chain of its steps' work, as far as it was seen.

        The longest tenth of a step's tasks is left out: a run with a long tail is no
        part of the work that was asked for.
        """
        longest_ms = 0.0
        for occurrence in range(self.spec.occurrences):
            ends_ms = []
            for index, step_spec in enumerate(self.spec.steps):
                tasks = self.step(occurrence, index).tasks
                before_ms = max((ends_ms[n] for n in step_spec.after), default=0.0)
                ends_ms.append(before_ms + _work_of(tasks))
            longest_ms = max(longest_ms, *ends_ms)
        return longest_ms

    @property
    def chain_length(self):
        """Return how many steps follow each other at most."""
        lengths = []
        for step in self.spec.steps:
            before = max((lengths[earlier] for earlier in step.after), default=0)
            lengths.append(before + 1)
        return max(lengths, default=0)

    @property
    def has_started(self):
        """Tell whether a start of any task was ever decided."""
        return any(task.run_count for step in self.steps for task in step.tasks)

    @property
    def is_long_running(self):
        """Tell whether the job runs until it is cancelled."""
        return any(step.spec.long_running for step in self.steps)


def _work_of(tasks):
    """Return what the longest of a step's tasks took, but for the last tenth."""
    seen_ms = sorted(task.worked_ms for task in tasks if task.worked_ms)
    return seen_ms[9 * (len(seen_ms) - 1) // 10] if seen_ms else 0.0


def _step_state(job, occurrence, index, step_spec):
    step = StepState(job=job, occurrence=occurrence, index=index, spec=step_spec)
    prefix = f"{job.job_id}.{occurrence}.{index}"
    step.tasks = [
        Task(step=step, index=number, name=f"{prefix}.{number}")
        for number in range(step_spec.count)
    ]
    step.tasks_remaining = step_spec.count
    return step
