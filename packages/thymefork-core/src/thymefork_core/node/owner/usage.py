"""Learning from lagging usage reports that declared sizes are too small."""

from collections import deque

from attrs import evolve

from thymefork_core.batch import TaskKey

__all__ = ["UsageLearner"]

KEPT = 20


class UsageLearner:
    """Raise the memory of a team's tasks to what its last ones really used.

    Sizes are only ever raised: a task that was declared too large still may grow,
    and no worker may be given more than it has.
    """

    def __init__(self, *, context):
        self.ctx = context
        self._peaks = {}

    def observe(self, worker, attempt, peak_memory_mb):
        """Take a lagging peak; count it in full where the attempt runs."""
        key = TaskKey(attempt.work_id, attempt.task)
        view = self.ctx.book.get(worker)
        held = view.taken.get(key) if view else None
        if held is None or peak_memory_mb <= held.memory_mb:
            return
        grown = evolve(held, memory_mb=peak_memory_mb)
        self.ctx.book.give_back(worker, key)
        self.ctx.book.take(worker, key, grown)
        peaks = self._peaks.setdefault(attempt.team, {})
        of_task = peaks.setdefault(self._kind(attempt), deque(maxlen=KEPT))
        of_task.append(peak_memory_mb)

    def adjust(self, spec):
        """Return what to reserve for a task of a team."""
        peaks = self._peaks.get(spec.team, {}).get(spec.kind)
        if not peaks:
            return spec.resources
        most_mb = max(w.resources.memory_mb for w in self.ctx.file.workers)
        learned_mb = min(max(peaks), most_mb)
        memory_mb = max(spec.resources.memory_mb, learned_mb)
        return evolve(spec.resources, memory_mb=memory_mb)

    def _kind(self, attempt):
        work = self.ctx.accepted.get(attempt.work_id)
        return work.spec.kind if work else None
