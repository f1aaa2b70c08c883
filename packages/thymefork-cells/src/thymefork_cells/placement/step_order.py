"""Which step's tasks are started first."""

from operator import itemgetter

from attrs import field, frozen

from .starvation import starved_ms

__all__ = ["StepOrder"]


@frozen(kw_only=True)
class StepOrder:
    """Order the steps that have tasks to start.

    What is within its account's share goes before what is beyond, then the more urgent
    queue, then a starved step, then the job that is due first. What is beyond goes by
    what the accounts use: the one that uses the least for its weight goes first. Before
    all goes the first step of an account that stands still.
    """

    _context = field()
    _durations = field()
    _dominant_shares = field()

    def steps(self, now_ms):
        """Return the steps whose turn has come or is still to come, the first first."""
        jobs = self._context.live_jobs.values()
        self._dominant_shares.review(jobs, now_ms)
        ranked = []
        for job in jobs:
            queue = self._context.queue(job)
            if queue is None:
                continue
            for step in job.steps:
                if step.is_done or not self.startable(step, now_ms):
                    continue
                self._note_turn(step, now_ms)
                urgency = (-starved_ms(step, now_ms), job.objective_ms, step.index)
                rank = (job.is_beyond_share, queue.priority, *urgency)
                ranked.append((rank, step))
        ranked.sort(key=itemgetter(0))
        return self._by_use([step for _, step in ranked], now_ms)

    def _by_use(self, steps, now_ms):
        """Return the steps with what is beyond the shares by what accounts use."""
        if not self._dominant_shares.tracks_any:
            return steps
        wanting = {step.job.account_name for step in steps if step.ready}
        self._dominant_shares.record_waiting(wanting, now_ms)
        within = [step for step in steps if not step.job.is_beyond_share]
        beyond = steps[len(within) :]
        if beyond:
            beyond = self._dominant_shares.fair_order(beyond)
        return self._starved_first(within + beyond, now_ms)

    def is_starved(self, step, now_ms):
        """Tell whether a step's account has wanted room for long and held none."""
        return self._dominant_shares.is_starved(step.job.account_name, now_ms)

    def _starved_first(self, steps, now_ms):
        """Put the first step of each account that stands still before all others."""
        standing = {}
        for step in steps:
            name = step.job.account_name
            if step.ready and name not in standing:
                if self.is_starved(step, now_ms):
                    standing[name] = step
        if not standing:
            return steps
        first = list(standing.values())
        return first + [step for step in steps if step not in first]

    def _note_turn(self, step, now_ms):
        """Note from when on a step's tasks may be started."""
        if not step.ready:
            early_ms = self._context.bounds.early_ms / 2
            step.ready = step.job.is_step_due(step, now_ms, early_ms)
            step.ready_ms = now_ms

    def startable(self, step, now_ms):
        """Return the tasks that have to be started, or started once more."""
        if not step.spec.speculative:
            return step.waiting
        return [
            task
            for task in step.tasks
            if task.is_waiting
            or task.wants_copy(lambda run: self._is_behind(run, now_ms), now_ms)
        ]

    def _is_behind(self, run, now_ms):
        """Tell whether a copy of a run would end sooner than the run itself."""
        if run.worker.is_silent(now_ms):
            return True
        return self._durations.late_ms(run, now_ms) > 0
