"""Attempts on owned workers: sent after their record, followed to their end."""

from attrs import Factory, define

from thymefork_core.batch import TaskKey
from thymefork_core.ledger import End, Ending
from thymefork_core.reasons import Retry

from ..effects import Level, SendStarts, SendStops, StartOrder
from .tracked import Tracked

__all__ = ["Attempts"]


@define(kw_only=True)
class _Outbox:
    """Starts and stops that wait for the end of this turn."""

    starts: dict = Factory(dict)
    stops: dict = Factory(dict)


class Attempts:
    """Send starts and stops, and record an end only when it is confirmed."""

    def __init__(self, *, context):
        self.ctx = context
        self._tracked = {}
        self._outbox = _Outbox()

    def find(self, attempt_id):
        """Return the open attempt of the log with an id, or None."""
        work_id, task, attempt = attempt_id.rsplit("/", 2)
        found = self.ctx.ledger.task(work_id, int(task)).open
        return found if found and found.attempt == int(attempt) else None

    def adopt(self, attempts):
        """Follow attempts of a former owner, whose starts may still arrive."""
        for attempt in attempts:
            self._tracked[attempt.attempt_id] = Tracked(
                gone_after_ms=self._lease_over_ms
            )

    def drop_all(self):
        """Forget all attempts when fenced."""
        self._tracked.clear()
        self._outbox = _Outbox()

    @property
    def _lease_over_ms(self):
        """Return when no lease given until now can still run."""
        limits = self.ctx.limits
        return self.ctx.now.wall_ms + limits.attempt_lease_ms + limits.clock_skew_ms

    # Starts ------------------------------------------------------------------

    def send(self, attempt, spec):
        """Send a start whose record is in the log, at the end of this turn."""
        self._tracked[attempt.attempt_id] = Tracked()
        order = StartOrder(
            attempt_id=attempt.attempt_id,
            cpu_milli=attempt.resources.cpu_milli,
            memory_mb=attempt.resources.memory_mb,
            accelerators=attempt.resources.accelerators,
            run_ms=spec.run_ms,
            payload=spec.payload,
        )
        self._outbox.starts.setdefault(attempt.worker, []).append(order)
        self.ctx.note(
            "start sent",
            step="start",
            peer=attempt.worker,
            subject=attempt.attempt_id,
            level=Level.DEBUG,
        )

    def not_sent(self, attempt):
        """Record that a start was never sent."""
        self._end(attempt, Ending.NOT_SENT)

    def on_starts_answered(self, message):
        """Note that starts were taken."""
        for attempt_id in message.attempt_ids:
            tracked = self._tracked.get(attempt_id)
            if tracked is not None:
                tracked.started_at_ms = message.started_at_ms
                tracked.gone_after_ms = None

    def on_starts_failed(self, message):
        """Undo starts that never left, and doubt those that may have."""
        for attempt_id in message.attempt_ids:
            attempt = self.find(attempt_id)
            tracked = self._tracked.get(attempt_id)
            if attempt is None or tracked is None:
                continue
            if message.sent:
                tracked.gone_after_ms = self._lease_over_ms
                self.ctx.count(Retry.START_UNCERTAIN)
            else:
                self.not_sent(attempt)

    # Stops -------------------------------------------------------------------

    def stop(self, attempt, *, preempt=False):
        """Ask the worker to stop an attempt; its report confirms it."""
        tracked = self._tracked.get(attempt.attempt_id)
        if tracked is not None and preempt:
            tracked.preempted = True
        self.stop_id(attempt.worker, attempt.attempt_id)

    def stop_id(self, worker, attempt_id):
        """Ask a worker to stop what runs under an id."""
        self._outbox.stops.setdefault(worker, set()).add(attempt_id)

    # Reports -----------------------------------------------------------------

    def follow(self, view, report):
        """Record what ended and what is gone; stop what should not run."""
        finished = {ended.attempt_id: ended for ended in report.finished}
        running = set(report.running)
        for attempt in self.ctx.ledger.open_attempts(view.name):
            tracked = self._tracked.get(attempt.attempt_id)
            if tracked is None or tracked.ending:
                continue
            ended = finished.get(attempt.attempt_id)
            if ended is not None:
                self._ended(attempt, ended, tracked, view)
            elif attempt.attempt_id in running:
                self._seen_running(tracked, report)
            elif tracked.is_gone(report.measured_at_ms):
                self._end(attempt, Ending.LOST)
        for attempt_id in running:
            attempt = self.find(attempt_id)
            if attempt is None or self._is_closed(attempt):
                self.stop_id(view.name, attempt_id)

    def _seen_running(self, tracked, report):
        tracked.gone_after_ms = None
        if tracked.started_at_ms is None:
            tracked.started_at_ms = report.measured_at_ms

    def _ended(self, attempt, ended, tracked, view):
        ctx = self.ctx
        if ended.stopped:
            preempted = tracked.preempted and not self._is_closed(attempt)
            self._end(attempt, Ending.PREEMPTED if preempted else Ending.STOPPED)
        elif ended.exit_code:
            if view.health.failed(attempt.work_id, ctx.now.wall_ms):
                text = "worker in quarantine"
                ctx.note(text, step="report", peer=view.name, level=Level.WARNING)
            self._end(attempt, Ending.FAILED, ended.exit_code)
        else:
            view.health.succeeded()
            self._end(attempt, Ending.DONE)

    def _is_closed(self, attempt):
        return attempt.work_id in self.ctx.ledger.state.closed

    def end_all_on_removed(self, worker):
        """End attempts of a worker that the platform has removed, after their lease."""
        for attempt in self.ctx.ledger.open_attempts(worker):
            tracked = self._tracked.get(attempt.attempt_id)
            if tracked is None or tracked.ending:
                continue
            if tracked.gone_after_ms is None:
                tracked.gone_after_ms = self._lease_over_ms
            elif self.ctx.now.wall_ms > tracked.gone_after_ms:
                self._end(attempt, Ending.LOST)

    def _end(self, attempt, ending, exit_code=0):
        usual = ending is Ending.DONE
        self.ctx.note(
            f"attempt {ending}",
            step="end",
            peer=attempt.worker,
            subject=attempt.attempt_id,
            level=Level.DEBUG if usual else Level.INFO,
        )
        self._tracked.setdefault(attempt.attempt_id, Tracked()).ending = True
        self.ctx.record(
            End(
                work_id=attempt.work_id,
                task=attempt.task,
                attempt=attempt.attempt,
                ending=ending,
                exit_code=exit_code,
            )
        )

    def ended_in_log(self, attempt):
        """Free what an attempt held, once its end is in the log."""
        self._tracked.pop(attempt.attempt_id, None)
        if not self.ctx.ledger.task(attempt.work_id, attempt.task).open:
            key = TaskKey(attempt.work_id, attempt.task)
            self.ctx.book.give_back(attempt.worker, key)

    # Sending -----------------------------------------------------------------

    def flush(self):
        """Send the starts and stops of this turn, a call a worker."""
        outbox, self._outbox = self._outbox, _Outbox()
        for worker, orders in outbox.starts.items():
            self._send_starts(worker, orders)
        for worker, attempt_ids in outbox.stops.items():
            self._send_stops(worker, attempt_ids)

    def _send_starts(self, worker, orders):
        ctx = self.ctx
        ctx.emit(
            SendStarts(
                worker=worker,
                epoch=ctx.book.get(worker).epoch,
                orders=tuple(orders),
                lease_until_ms=ctx.now.wall_ms + ctx.limits.attempt_lease_ms,
                send_before_mono_ms=ctx.send_before_mono_ms,
            )
        )

    def _send_stops(self, worker, attempt_ids):
        view = self.ctx.book.get(worker)
        if view is None or not self.ctx.may_send():
            return
        tracked = [self._tracked.get(attempt_id) for attempt_id in attempt_ids]
        self.ctx.emit(
            SendStops(
                worker=worker,
                epoch=view.epoch,
                attempt_ids=tuple(sorted(attempt_ids)),
                checkpoint=any(t is not None and t.preempted for t in tracked),
            )
        )
