"""Which step's tasks are started first."""

from operator import itemgetter

from attrs import field, frozen

from .starvation import starved_ms

__all__ = ["StepOrder"]


@frozen(kw_only=True)
class StepOrder:
    """Order the steps that have tasks to start.

    What is within its account's share goes before what is beyond, then the more urgent
    queue, then a starved step, then the job that is due first.
    """

    _context = field()
    _images = field()

    def steps(self, now_ms):
        """Return the steps whose turn has come or is still to come, the first first."""
        ranked = []
        for job in self._context.live_jobs.values():
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
        return [step for _, step in ranked]

    def _note_turn(self, step, now_ms):
        """Note from when on a step's tasks may be started."""
        if not step.ready:
            early_ms = self._context.bounds.early_ms / 2
            step.ready = step.job.is_turn(step, now_ms, early_ms)
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
        return self._images.late_ms(run, now_ms) > 0
