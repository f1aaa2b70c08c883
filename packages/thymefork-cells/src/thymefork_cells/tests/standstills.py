"""Longest time for which work stands still in a harness."""

from thymefork_cells.state import JobState

__all__ = ["StandstillWatch"]

SAMPLE_MS = 50.0


class StandstillWatch:
    """Sample how long jobs run nothing and how long lasting tasks have no run."""

    def __init__(self, *, harness):
        self._harness = harness
        self._idle_since_ms = {}
        self.longest_ms = {}

    def run(self, for_ms):
        """Run the harness and sample it."""
        until_ms = self._harness.now + for_ms
        while self._harness.now < until_ms:
            self._harness.run(SAMPLE_MS)
            self._sample()

    def _sample(self):
        running = {task for task, _ in self._harness.running()}
        running_jobs = {task.split(".")[0] for task in running}
        for job in self._harness.cell.context.jobs.values():
            is_live = job.state in (JobState.QUEUED, JobState.RUNNING)
            self._record(job.job_id, is_live and job.job_id not in running_jobs)
            for step in job.steps:
                for task in step.tasks if step.spec.long_running else ():
                    self._record(task.name, is_live and task.name not in running)

    def _record(self, name, is_idle):
        now_ms = self._harness.now
        if not is_idle:
            self._idle_since_ms.pop(name, None)
            return
        idle_ms = now_ms - self._idle_since_ms.setdefault(name, now_ms)
        self.longest_ms[name] = max(self.longest_ms.get(name, 0.0), idle_ms)
