"""The owner's side: room, attempts and polls on the workers that it owns."""

from thymefork_core.batch import TaskKey
from thymefork_core.ledger import Claim
from thymefork_core.reasons import Retry

from .attempts import Attempts
from .owned_workers import OwnedWorkers
from .placements import Placements
from .polls import Polls
from .preemptor import Preemptor
from .reservations import Reservations
from .usage import UsageLearner

__all__ = ["Executor"]


class Executor:
    """Join the parts that act on owned workers."""

    def __init__(self, *, context):
        self.ctx = context
        self.workers = OwnedWorkers(context=context)
        self.attempts = Attempts(context=context)
        self.polls = Polls(context=context)
        self.usage = UsageLearner(context=context)
        self.reservations = Reservations(context=context)
        self.preemptor = Preemptor(context=context, attempts=self.attempts)
        self.placements = Placements(
            context=context,
            usage=self.usage,
            preemptor=self.preemptor,
            reservations=self.reservations,
        )

    # Ownership ---------------------------------------------------------------

    def on_moved(self, moved, by):
        """Follow a change of a worker's owner."""
        if self.ctx.book.get(moved.worker) is not None:
            self._drop(moved.worker)
        if moved.after == self.ctx.incarnation:
            self._acquire(moved.worker, claimed=isinstance(by, Claim))

    def drop_all(self):
        """Forget all workers when fenced."""
        for worker in list(self.ctx.book.views):
            self._drop(worker)
        self.attempts.drop_all()

    def _acquire(self, worker, *, claimed):
        self.attempts.adopt(self.workers.acquire(worker, claimed=claimed))
        self.polls.drop(worker)
        self.polls.start(worker)

    def _drop(self, worker):
        self.workers.drop(worker)
        self.polls.drop(worker)
        self.placements.release_on(worker)

    # Verdicts ----------------------------------------------------------------

    def on_start(self, verdict):
        """Send an own start that counts; give room back for one that does not."""
        ctx, entry = self.ctx, verdict.entry
        if verdict.author != ctx.incarnation:
            return
        key = TaskKey(entry.work_id, entry.task)
        spec = self.placements.take_starting(entry)
        if not verdict.valid:
            open_now = ctx.ledger.task(entry.work_id, entry.task).open
            if open_now is None or open_now.worker != entry.worker:
                ctx.book.give_back(entry.worker, key)
            ctx.count(Retry.START_VOID)
            return
        view = ctx.book.get(entry.worker)
        reserved = view is not None and key in view.taken
        if reserved and spec is not None and ctx.may_send():
            self.attempts.send(verdict.attempt, spec)
        else:
            ctx.book.take(entry.worker, key, entry.resources)
            self.attempts.not_sent(verdict.attempt)

    def on_end(self, verdict):
        """Free what an attempt held, once its end is in the log."""
        attempt = verdict.attempt
        if not verdict.valid or attempt is None:
            return
        self.attempts.ended_in_log(attempt)
        if self.ctx.owns(attempt.worker):
            self.polls.forget(attempt.worker, attempt.attempt_id)

    def on_closed(self, work_id):
        """Stop what still runs of closed work."""
        for task in self.ctx.ledger.state.tasks.get(work_id, {}).values():
            if task.open and self.ctx.owns(task.open.worker):
                self.attempts.stop(task.open)

    # Worker's answers --------------------------------------------------------

    def on_report(self, report):
        """Take a worker's report: what runs, what ended, what is gone."""
        self.polls.answered(report.worker)
        view = self.ctx.book.get(report.worker)
        if view is None:
            return
        self.workers.verify(view, report)
        self.ctx.book.touch(view)
        self.attempts.follow(view, report)
        for attempt_id, peak_memory_mb in report.peak_memory_mb.items():
            attempt = self.attempts.find(attempt_id)
            if attempt is not None:
                self.usage.observe(report.worker, attempt, peak_memory_mb)
        finished = {ended.attempt_id for ended in report.finished}
        for attempt_id in finished:
            if self.attempts.find(attempt_id) is None:
                self.polls.forget(report.worker, attempt_id)
        self.polls.still_kept(report.worker, finished)
        self.polls.start(report.worker)

    # Time --------------------------------------------------------------------

    def tick(self):
        """Poll workers, and give up room whose deadline has passed."""
        ctx = self.ctx
        for worker in self.workers.missing():
            self._acquire(worker, claimed=True)
        self.placements.release_expired()
        for worker, view in list(ctx.book.views.items()):
            view.leaving = view.leaving or ctx.members.worker_is_leaving(worker)
            if ctx.members.worker_is_gone(worker):
                self.attempts.end_all_on_removed(worker)
            ctx.book.touch(view)
            self.polls.start(worker)
