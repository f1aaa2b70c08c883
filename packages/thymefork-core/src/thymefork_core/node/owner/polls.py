"""Polling owned workers: one open poll each, which renews the attempts' leases."""

from ..effects import PollWorker

__all__ = ["Polls"]

FAILURES_TO_UNREACHABLE = 2
BACKOFF_MS = 250
LONGEST_BACKOFF_MS = 2000


class Polls:
    """Keep one poll open at each worker and say what may be forgotten there."""

    def __init__(self, *, context):
        self.ctx = context
        self._open = set()
        self._not_before_mono_ms = {}
        self._failures = {}
        self._forget = {}

    def start(self, worker):
        """Open a poll, unless one is open, not due, or not allowed."""
        ctx = self.ctx
        view = ctx.book.get(worker)
        if view is None or worker in self._open or not ctx.may_send():
            return
        if ctx.now.mono_ms < self._not_before_mono_ms.get(worker, 0):
            return
        self._open.add(worker)
        limits = ctx.limits
        wait_ms = limits.poll_wait_ms if view.taken else limits.idle_poll_wait_ms
        ctx.emit(
            PollWorker(
                worker=worker,
                epoch=view.epoch,
                lease_until_ms=ctx.now.wall_ms + ctx.limits.attempt_lease_ms,
                forget=tuple(sorted(self._forget.get(worker, ()))),
                wait_ms=wait_ms if view.verified else 0,
            )
        )

    def answered(self, worker):
        """Note that the open poll was answered."""
        self._open.discard(worker)
        self._failures.pop(worker, None)

    def failed(self, worker):
        """Try again later; after some failures the worker is unreachable."""
        self._open.discard(worker)
        failures = self._failures.get(worker, 0) + 1
        self._failures[worker] = failures
        view = self.ctx.book.get(worker)
        if view is not None and failures >= FAILURES_TO_UNREACHABLE:
            view.reachable = False
        wait_ms = min(BACKOFF_MS * failures, LONGEST_BACKOFF_MS)
        self._not_before_mono_ms[worker] = self.ctx.now.mono_ms + wait_ms

    def forget(self, worker, attempt_id):
        """Let the worker drop an outcome that is in the log."""
        self._forget.setdefault(worker, set()).add(attempt_id)

    def still_kept(self, worker, finished):
        """Repeat only what the worker still keeps."""
        self._forget.setdefault(worker, set()).intersection_update(finished)

    def drop(self, worker):
        """Forget a worker that another instance owns now."""
        self._open.discard(worker)
        self._forget.pop(worker, None)
