"""Forced order of events around a start that is carried out late."""

from thymefork_cells import Refusal
from thymefork_cells.effects import StartRun

__all__ = ["DelayedStart"]

# How long a restarting worker is away, and how soon after its return the start arrives:
# no poll can have been answered by then.
AWAY_MS = 20.0
ARRIVAL_AFTER_RETURN_MS = 1.0


class DelayedStart:
    """Delay the first start of a task, and restart its worker around the arrival.

    The start gets no answer. `tasks` are those of which one is delayed.
    """

    def __init__(self, *, harness, tasks, lateness_ms):
        self._harness = harness
        self._tasks = tasks
        self._lateness_ms = lateness_ms
        self.worker = None
        self.key = ("", 0)
        self.sent_ms = 0.0
        harness.command_delay_ms = self._command_delay_ms

    @property
    def arrives_ms(self):
        """Return when the start arrives."""
        return self.sent_ms + self._lateness_ms

    def _command_delay_ms(self, effect):
        is_start = isinstance(effect, StartRun) and self.worker is None
        if not is_start or effect.run.task.name not in self._tasks:
            return 0.0
        self.worker = self._harness.workers[effect.run.worker.worker_id]
        self.key = effect.run.key
        self.sent_ms = self._harness.now
        return self._lateness_ms

    def refuse_later_runs(self):
        """Let the worker refuse later runs until the delayed start arrives.

        The task's next run starts elsewhere, so that it survives the restart.
        """
        self._harness.refusal_for = self._refusal_for

    def _refusal_for(self, effect):
        if effect.run.worker.worker_id != self.worker.worker_id:
            return None
        is_later_run = effect.run.run_id > self.key[1]
        if is_later_run and self._harness.now < self.arrives_ms:
            return Refusal.UNWELL
        return None

    def run_until_sent(self):
        """Run until the start is under way."""
        while self.worker is None:
            assert self._harness.now < 5_000.0
            self._harness.run(1)

    def run_until(self, at_ms):
        """Run until a time, which must not have passed."""
        self._harness.run(at_ms - self._harness.now)

    def restart_worker(self):
        """Restart the worker; return once it is back."""
        self._harness.restart(self.worker, away_ms=AWAY_MS)
        self._harness.run(AWAY_MS)

    def restart_worker_before_arrival(self, after_return_ms=ARRIVAL_AFTER_RETURN_MS):
        """Let the start arrive soon after its worker's return, before any poll."""
        self.run_until(self.arrives_ms - after_return_ms - AWAY_MS)
        self.restart_worker()
        self.run_until(self.arrives_ms - 0.1)
        assert not self.worker.fence and not self.worker.is_unreachable
        self.run_until(self.arrives_ms + 0.1)

    @property
    def has_begun(self):
        """Return whether the worker carried out the start at its arrival."""
        return any(
            (run.task, run.run_id) == self.key and run.began_ms == self.arrives_ms
            for run in self.worker.history
        )
