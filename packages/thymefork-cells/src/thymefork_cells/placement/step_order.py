"""Order the steps whose tasks wait to start."""

from operator import itemgetter

from attrs import field, frozen

from .starvation import starved_ms

__all__ = ["StepOrder"]


@frozen(kw_only=True)
class StepOrder:
    """Order the steps that have tasks to start.

    Steps within their account's job rate share come first, ordered by queue priority,
    then starvation, then objective. Steps beyond it follow in order of the accounts'
    weighted usage, the least first. The first step of each starved account precedes
    all others.
    """

    _context = field()
    _durations = field()
    _dominant_shares = field()

    def steps(self, now_ms):
        """Return the steps with tasks to start, the most urgent first."""
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
                self._mark_ready(step, now_ms)
                urgency = (-starved_ms(step, now_ms), job.objective_ms, step.index)
                rank = (job.is_beyond_share, queue.priority, *urgency)
                ranked.append((rank, step))
        ranked.sort(key=itemgetter(0))
        return self._by_use([step for _, step in ranked], now_ms)

    def _by_use(self, steps, now_ms):
        """Order the steps beyond their job rate shares by the accounts' usage."""
        if not self._dominant_shares.tracks_any:
            return steps
        waiting_accounts = {step.job.account_name for step in steps if step.ready}
        self._dominant_shares.record_waiting(waiting_accounts, now_ms)
        within = [step for step in steps if not step.job.is_beyond_share]
        beyond = steps[len(within) :]
        if beyond:
            beyond = self._dominant_shares.fair_order(beyond)
        return self._starved_first(within + beyond, now_ms)

    def is_starved(self, step, now_ms):
        """Return whether a step's account is starved."""
        return self._dominant_shares.is_starved(step.job.account_name, now_ms)

    def _starved_first(self, steps, now_ms):
        """Put the first step of each starved account before all others."""
        starved = {}
        for step in steps:
            name = step.job.account_name
            if step.ready and name not in starved:
                if self.is_starved(step, now_ms):
                    starved[name] = step
        if not starved:
            return steps
        first = list(starved.values())
        return first + [step for step in steps if step not in first]

    def _mark_ready(self, step, now_ms):
        """Mark a step as ready once its tasks may start."""
        if not step.ready:
            early_ms = self._context.bounds.early_ms / 2
            step.ready = step.job.is_step_due(step, now_ms, early_ms)
            step.ready_ms = now_ms

    def startable(self, step, now_ms):
        """Return the tasks that need a run or a speculative copy."""
        if not step.spec.speculative:
            return step.waiting
        return [
            task
            for task in step.tasks
            if task.is_waiting
            or task.wants_copy(lambda run: self._is_behind(run, now_ms), now_ms)
        ]

    def _is_behind(self, run, now_ms):
        """Return whether a copy of a run is likely to end before the run itself."""
        if run.worker.is_unresponsive(now_ms):
            return True
        return self._durations.late_ms(run, now_ms) > 0
