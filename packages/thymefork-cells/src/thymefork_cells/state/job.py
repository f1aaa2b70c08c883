"""An accepted job."""

from enum import StrEnum

from attrs import define, field

from .account_usage import AccountUsage
from .step_state import StepState
from .task import Task

__all__ = ["Job", "JobState"]


class JobState(StrEnum):
    """States of a job as its caller sees them."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Return whether the state is final."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


@define(kw_only=True, eq=False)
class Job:
    """Track a job.

    `state` is the decided state, `visible_state` the stored one that callers may see.
    `usage` is shared by all jobs of the client account. `is_beyond_share` is set if the
    account had exceeded its job rate share when the job arrived, `has_run` once a
    worker has reported a run of it. `tasks` lists the tasks of all steps in order.

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
    tasks: list = field(factory=list)
    waiting_replies: list = field(factory=list)

    @classmethod
    def create(cls, *, job_id, spec, now_ms, **fields):
        """Create a job with all its steps and tasks waiting."""
        job = cls(
            job_id=job_id,
            spec=spec,
            accepted_ms=now_ms,
            **fields,
        )
        for occurrence in range(spec.occurrences):
            for index, step_spec in enumerate(spec.steps):
                step = _step_state(job, occurrence, index, step_spec)
                job.steps.append(step)
                job.tasks += step.tasks
        return job

    def step(self, occurrence, index):
        """Return the state of a step in an occurrence of the job."""
        return self.steps[occurrence * len(self.spec.steps) + index]

    def due_ms(self, occurrence):
        """Return when an occurrence may start."""
        return self.first_start_ms + occurrence * self.spec.interval_ms

    def is_step_due(self, step, now_ms, early_ms=0.0):
        """Return whether a step's tasks may be started now."""
        if now_ms + early_ms < self.due_ms(step.occurrence):
            return False
        return all(
            self.step(step.occurrence, earlier).is_done for earlier in step.spec.after
        )

    @property
    def is_live(self):
        """Return whether the job has not ended."""
        return not self.state.is_final

    @property
    def is_over(self):
        """Return whether the job has ended and no run of it may exist."""
        return self.state.is_final and not any(task.runs for task in self.tasks)

    @property
    def runs(self):
        """Return every run that may still exist."""
        return [run for task in self.tasks for run in task.runs]

    @property
    def worked_ms(self):
        """Return the critical path of the task durations observed so far.

        The slowest tenth of each step's tasks is ignored, to exclude stragglers.
        """
        longest_ms = 0.0
        for occurrence in range(self.spec.occurrences):
            ends_ms = []
            for index, step_spec in enumerate(self.spec.steps):
                tasks = self.step(occurrence, index).tasks
                before_ms = max((ends_ms[n] for n in step_spec.after), default=0.0)
                ends_ms.append(before_ms + _trimmed_work_ms(tasks))
            longest_ms = max(longest_ms, *ends_ms)
        return longest_ms

    @property
    def critical_path_step_count(self):
        """Return the number of steps on the longest path of dependent steps."""
        lengths = []
        for step in self.spec.steps:
            before = max((lengths[earlier] for earlier in step.after), default=0)
            lengths.append(before + 1)
        return max(lengths, default=0)

    @property
    def has_started(self):
        """Return whether any task was ever started."""
        return any(task.run_count for task in self.tasks)

    @property
    def is_long_running(self):
        """Return whether the job runs until it is cancelled."""
        return any(step.spec.long_running for step in self.steps)


def _trimmed_work_ms(tasks):
    """Return the longest duration of a step's tasks without the slowest tenth."""
    durations_ms = sorted(task.worked_ms for task in tasks if task.worked_ms)
    return durations_ms[9 * (len(durations_ms) - 1) // 10] if durations_ms else 0.0


def _step_state(job, occurrence, index, step_spec):
    step = StepState(
        job=job,
        occurrence=occurrence,
        index=index,
        spec=step_spec,
        first_task_number=len(job.tasks),
    )
    prefix = f"{job.job_id}.{occurrence}.{index}"
    step.tasks = [
        Task(step=step, index=number, name=f"{prefix}.{number}")
        for number in range(step_spec.count)
    ]
    step.tasks_remaining = step_spec.count
    return step
