"""Watch how often the workers of a cell crash, and store it for the next owners."""

from .crash_rate import CRASHES_KEY

__all__ = ["CrashMonitor"]


class CrashMonitor:
    """Keep the rate of crashes, across the owners of a cell."""

    def __init__(self, *, context, rate):
        self._context = context
        self._rate = rate

    def load(self, records, *, epoch_ms, now_ms):
        """Continue the rate that the previous owner has stored."""
        record = records.get(CRASHES_KEY)
        if record:
            self._rate.load(record, epoch_ms=epoch_ms, now_ms=now_ms)

    def load_loss(self, loss):
        """Count a stored loss as a crash if the previous owner stored no rate."""
        if not self._rate.is_inherited:
            self._rate.record(loss.incarnation, self._context.taken_over_ms)

    def on_crash(self, worker, now_ms):
        """Count the crash of a worker, also for the next owners."""
        self._rate.record(worker.incarnation, now_ms)
        record = self._rate.encode(epoch_ms=self._context.epoch_ms(), now_ms=now_ms)
        self._context.journal.put(CRASHES_KEY, record)

    def review(self, now_ms):
        """Count the workers whose crash would be noticed now."""
        answering = sum(
            worker.is_listed and worker.has_reported and not worker.unanswered_in_row
            for worker in self._context.workers.values()
        )
        self._rate.count_workers(answering, now_ms)

    def rate_beside(self, losses, now_ms):
        """Return the rate of crashes of the workers that a task did not run on."""
        return self._rate.beside(losses, self._rate.worker_count - 1.0, now_ms)
