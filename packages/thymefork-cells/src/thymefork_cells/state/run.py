"""One run of a task on one worker."""

from enum import Enum, auto

from attrs import define, field

from .worker_loss import EARLY_LOSS_MS

__all__ = ["Run", "RunState"]


class RunState(Enum):
    """States of a run."""

    INTENDED = auto()  # intent not stored yet, nothing sent
    SENT = auto()  # start sent, not answered yet
    LIVE = auto()  # confirmed by the worker
    STOPPING = auto()  # must stop, or its start may still arrive
    RECOVERED = auto()  # from a previous owner, worker not polled yet
    GONE = auto()  # does not run and never will


@define(kw_only=True, eq=False)
class Run:
    """Track one run; it holds capacity on its worker until it is gone.

    `suspected_ms` is when its start timed out unanswered, 0 if it did not.
    `stop_pending_since_ms` is when it was decided to stop the run, `stop_due_ms` when
    the stop is to be sent next. `pace_percent` is the wanted share of full speed,
    `acknowledged_pace_percent` the one that the worker confirmed, None if unknown.
    `born_epoch_ms` identifies the worker incarnation that the start was sent to. If the
    worker has restarted since, `successor` is the run that replaces this one there; it
    `is_carried_over`, and its `earlier_loss`, if any, counts against the task unless
    the worker reports it. `is_speed_learned` is set once the run's progress was used to
    learn the worker's speed. For a run that was `started_by_previous_owner`, `began_ms`
    is when this owner first saw it. `reported_ms` is when a report last contained the
    run, `first_reported_ms` when one first did. `gang_slowness` is that of the gang's
    slowest worker, 0 outside of gangs.

    `created_epoch_ms` is when its start was decided, since 1970, 0 if unknown.
    `start_pending_since_ms` is when its start was sent, 0 once that has certainly been
    carried out or rejected, or if a second run would do no harm.

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
    reported_ms: float = 0.0
    first_percent: int = -1
    first_reported_ms: float = 0.0
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
    created_epoch_ms: int = 0
    start_pending_since_ms: float = 0.0

    @born_epoch_ms.default
    def _default_incarnation(self):
        return self.worker.born_epoch_ms

    @property
    def is_of_earlier_incarnation(self):
        """Return whether its start was sent to an earlier incarnation."""
        return 0 < self.born_epoch_ms < self.worker.born_epoch_ms

    @property
    def step(self):
        """Return the specification of the run's step."""
        return self.task.step.spec

    @property
    def slowness(self):
        """Return the factor by which its worker, or slowest gang member, is slower."""
        return self.gang_slowness or self.worker.slowness

    @property
    def has_known_duration(self):
        """Return whether its elapsed time covers its task from the beginning."""
        if self.state is not RunState.LIVE or not self.began_ms:
            return False
        return not self.resumed and not self.started_by_previous_owner

    @property
    def key(self):
        """Return the key under which the worker reports it."""
        return (self.task.name, self.run_id)

    @property
    def was_sent(self):
        """Return whether its start was sent, so that it may exist."""
        return self.state is not RunState.INTENDED

    def age_at_silence_ms(self, now_ms):
        """Return how long before its worker's silence this owner first saw it.

        None if it never did.
        """
        if not self.began_ms:
            return None
        return max(
            0, round((self.worker.unanswered_since_ms or now_ms) - self.began_ms)
        )

    def unseen_at_silence_ms(self, now_ms):
        """Return how long before its worker's silence the worker last answered.

        At most since the run began.
        """
        silent_ms = self.worker.unanswered_since_ms or now_ms
        return max(
            1, round(silent_ms - max(self.worker.answered_poll_ms, self.began_ms))
        )

    def max_age_at_silence_ms(self, now_ms, epoch_ms):
        """Return a bound of that age, by the time of day if need be, 0 if unknown."""
        if self.began_ms and not self.started_by_previous_owner:
            return self.age_at_silence_ms(now_ms)
        if not self.created_epoch_ms:
            return 0
        silent_ms = now_ms - (self.worker.unanswered_since_ms or now_ms)
        return max(0, round(epoch_ms - silent_ms) - self.created_epoch_ms)

    @property
    def was_absent(self):
        """Return whether its worker, polled after the start, did not report it."""
        was_reported = self.reported_ms > 0 or self.confirmed_clock_ms > 0
        return not was_reported and 0 < self.began_ms <= self.worker.answered_poll_ms

    def may_have_crashed(self, now_ms):
        """Return whether its worker became unresponsive soon after its start."""
        if not self.was_sent or not self.worker.is_unresponsive(now_ms):
            return False
        age_ms = self.age_at_silence_ms(now_ms)
        return age_ms is None or age_ms <= EARLY_LOSS_MS

    @property
    def is_suspect(self):
        """Return whether its start was not answered and it was not reported."""
        return self.state is RunState.SENT and self.suspected_ms > 0

    @property
    def is_live(self):
        """Return whether its worker has confirmed it and it may continue."""
        return self.state is RunState.LIVE

    @property
    def may_continue(self):
        """Return whether it may continue, as far as is known."""
        return self.is_active or self.state is RunState.RECOVERED

    @property
    def is_active(self):
        """Return whether the run works, or will work, on its task."""
        return self.state in (RunState.INTENDED, RunState.SENT, RunState.LIVE)
