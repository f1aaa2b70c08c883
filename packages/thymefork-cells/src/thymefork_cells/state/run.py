"""One start of a task on one worker."""

from enum import Enum, auto

from attrs import define, field

from .worker_loss import EARLY_LOSS_MS

__all__ = ["Run", "RunState"]


class RunState(Enum):
    """Tell how far a run has come."""

    INTENDED = auto()  # its intent is not stored yet; nothing was sent
    SENT = auto()  # the start was sent and is not answered yet
    LIVE = auto()  # the worker has confirmed it
    STOPPING = auto()  # it must not go on, or may yet be carried out
    RECOVERED = auto()  # a predecessor intended it; the worker was not asked yet
    GONE = auto()  # it does not run and never will


@define(kw_only=True, eq=False)
class Run:
    """Follow one start; it takes room on its worker until it is gone.

    `suspected_ms` is when its start was given up as unanswered, 0 if it was not;
    `stop_pending_since_ms` is when it was decided that the worker has to be told to stop it,
    `stop_due_ms` when the order is to be sent next. `pace_percent` is the share of its
    speed that it is wanted to work at, `acknowledged_pace_percent` the one that its worker has
    taken, None if that is not known. `born_epoch_ms` tells the life of the worker that
    its start was meant for. Where the worker has started again since, `successor` is
    the run that is counted there in its place; that one `is_carried_over`, and unless
    it is found there, its `earlier_loss`, if any, counts against its task.
    One that `is_speed_learned` was learned from by its progress.
    Of one that `started_by_previous_owner` this owner came, `began_ms` is when it was found.
    `gang_slowness` is that of the slowest worker on which its gang was started, 0 for
    runs of no gang.
    Units: `*_ms` on the steady clock, `*_clock_ms` on the worker's clock.
    """

    task: object
    run_id: int
    worker: object
    state: RunState
    began_ms: float = 0.0
    confirmed_clock_ms: int = 0
    suspected_ms: float = 0.0
    stop_clock_ms: int = 0
    stop_reason: str = ""
    stop_pending_since_ms: float = 0.0
    stop_due_ms: float = 0.0
    stop_attempts: int = 0
    stop_is_overdue: bool = False
    percent: int = -1
    percent_changed_ms: float = 0.0
    listed_ms: float = 0.0
    first_percent: int = -1
    first_listed_ms: float = 0.0
    resumed: bool = False
    started_by_previous_owner: bool = False
    is_speed_learned: bool = False
    pace_percent: int = 100
    acknowledged_pace_percent: int | None = 100
    pace_due_ms: float = 0.0
    tail_ms: int = 0
    born_epoch_ms: int = field()
    successor: object = None
    is_carried_over: bool = False
    earlier_loss: object = None
    gang_slowness: float = 0.0

    @born_epoch_ms.default
    def _life_of_worker(self):
        return self.worker.born_epoch_ms

    @property
    def is_of_earlier_incarnation(self):
        """Tell whether its start was meant for a life of its worker that is over."""
        return 0 < self.born_epoch_ms < self.worker.born_epoch_ms

    @property
    def step(self):
        """Return the description of the run's step."""
        return self.task.step.spec

    @property
    def slowness(self):
        """Return how much longer it takes than ordinary, by the nature of its worker.

        A gang ends with its slowest member.
        """
        return self.gang_slowness or self.worker.slowness

    @property
    def has_known_duration(self):
        """Tell whether its time so far is that of its task from the beginning."""
        if self.state is not RunState.LIVE or not self.began_ms:
            return False
        return not self.resumed and not self.started_by_previous_owner

    @property
    def key(self):
        """Return the name that the worker lists it by."""
        return (self.task.name, self.run_id)

    @property
    def was_sent(self):
        """Tell whether its start has left, so that its worker may have begun it."""
        return self.state is not RunState.INTENDED

    def age_at_silence_ms(self, now_ms):
        """Return for how long at most it was at work when its worker fell silent.

        None where its start was not seen by this owner.
        """
        if not self.began_ms:
            return None
        return max(
            0, round((self.worker.unanswered_since_ms or now_ms) - self.began_ms)
        )

    @property
    def was_absent(self):
        """Tell whether its worker, asked after its start was sent, did not have it."""
        was_seen = self.listed_ms > 0 or self.confirmed_clock_ms > 0
        return not was_seen and 0 < self.began_ms <= self.worker.answered_poll_ms

    def may_have_crashed(self, now_ms):
        """Tell whether its worker fell silent soon after its start."""
        if not self.was_sent or not self.worker.is_silent(now_ms):
            return False
        age_ms = self.age_at_silence_ms(now_ms)
        return age_ms is None or age_ms <= EARLY_LOSS_MS

    @property
    def is_suspect(self):
        """Tell whether its start was not answered and the worker has not listed it."""
        return self.state is RunState.SENT and self.suspected_ms > 0

    @property
    def is_live(self):
        """Tell whether its worker has confirmed it and it may go on."""
        return self.state is RunState.LIVE

    @property
    def may_continue(self):
        """Tell whether it may go on, as far as is known."""
        return self.is_active or self.state is RunState.RECOVERED

    @property
    def is_active(self):
        """Tell whether the run works, or will, towards its task's end."""
        return self.state in (RunState.INTENDED, RunState.SENT, RunState.LIVE)
