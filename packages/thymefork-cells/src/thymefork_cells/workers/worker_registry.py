"""The cell's workers: who is listed, who leaves, whose life is over."""

from ..hashing import cell_of
from ..specs import WorkerEntry
from ..state import Worker
from .incarnations import IncarnationMatch
from .worker_poller import MAX_UNANSWERED_POLLS

__all__ = ["WorkerRegistry"]

# A worker that is no longer listed and runs nothing is forgotten this long after it
# answered or lost its runs: until then its machine may tell that its life is over.
FORGET_MS = 10_000.0


class WorkerRegistry:
    """Keep the workers of the cell."""

    def __init__(self, *, context, losses, incarnations):
        self._context = context
        self._losses = losses
        self._lives = incarnations
        self._over_lives = set()  # whose entries are still listed

    def get_or_add_placeholder(self, worker_id):
        """Return the worker of that id, or a stand-in without room for it."""
        worker = self._context.workers.get(worker_id)
        if worker is None:
            entry = WorkerEntry(
                worker_id=worker_id,
                machine_id="",
                host="",
                port=0,
                service="",
                hall="",
            )
            worker = Worker(entry=entry, is_listed=False)
            self._context.workers[worker_id] = worker
        return worker

    @property
    def unlisted_count(self):
        """Return how many workers hold runs though the platform does not list them."""
        return sum(
            1
            for worker in self._context.workers.values()
            if worker.runs and not worker.is_listed
        )

    def update(self, entries, *, now_ms):
        """Take the platform's list of workers."""
        mine = {
            entry.worker_id: entry
            for entry in entries
            if cell_of(entry.machine_id or entry.worker_id, self._context.cell_count)
            == self._context.cell
        }
        for worker in list(self._context.workers.values()):
            if worker.worker_id not in mine and worker.is_listed:
                worker.is_listed = False
                worker.unlisted_since_ms = now_ms
                worker.last_answer_ms = worker.last_answer_ms or now_ms
                self._context.note("worker_unlisted", worker=worker.worker_id)
        self._over_lives &= {entry.incarnation for entry in mine.values()}
        for entry in mine.values():
            # A crashed worker's entry stands for some heartbeats more.
            if entry.incarnation not in self._over_lives:
                self._take(entry, now_ms)
        self._end_old_lives(mine, now_ms)
        self._context.needs_plan = True

    def _take(self, entry, now_ms):
        worker = self._context.workers.get(entry.worker_id)
        if worker is None:
            worker = Worker(
                entry=entry,
                born_epoch_ms=entry.born_epoch_ms,
                number=self._lives.number(entry.worker_id, entry.born_epoch_ms),
                tracked_since_ms=now_ms,
                poll_due_ms=now_ms,
            )
            self._context.workers[entry.worker_id] = worker
            self._context.note("worker_listed", worker=entry.worker_id)
            return
        if worker.entry == entry and worker.is_listed:
            return
        verdict = self._lives.match_entry(worker, entry)
        if verdict is IncarnationMatch.EARLIER:
            return  # the worker has started again, and its entry is still to come
        if verdict is IncarnationMatch.NEXT:
            worker = self._lives.start_next(
                worker, entry=entry, born_epoch_ms=entry.born_epoch_ms, now_ms=now_ms
            )
        self._note_room(worker, entry)
        if entry.draining and not worker.entry.draining:
            worker.leaves_at_ms = now_ms + entry.leaves_in_ms
            self._context.note(
                "worker_draining",
                worker=entry.worker_id,
                runs=len(worker.runs),
                leaves_in_ms=entry.leaves_in_ms,
            )
        worker.entry = entry
        worker.is_listed = True

    def _note_room(self, worker, entry):
        """Log that a worker's room has changed while it runs."""
        old = worker.entry
        was = (old.cpu_milli, old.memory_mb, old.accelerators)
        if not old.host or was == (
            entry.cpu_milli,
            entry.memory_mb,
            entry.accelerators,
        ):
            return
        self._context.note(
            "worker_room_changed",
            worker=entry.worker_id,
            cpu_milli=entry.cpu_milli,
            was_cpu_milli=old.cpu_milli,
            held_cpu_milli=worker.held_cpu_milli,
            memory_mb=entry.memory_mb,
            was_memory_mb=old.memory_mb,
            accelerators=entry.accelerators,
        )

    def _end_old_lives(self, mine, now_ms):
        incarnations = {entry.machine_id: entry.worker_id for entry in mine.values()}
        for worker in list(self._context.workers.values()):
            machine_id = worker.entry.machine_id
            if not machine_id or worker.worker_id in mine:
                continue
            if incarnations.get(machine_id, worker.worker_id) != worker.worker_id:
                self.end_incarnation(
                    worker, "its machine has a new life", now_ms=now_ms
                )

    def end_incarnation(self, worker, reason, *, now_ms):
        """Release everything of a worker whose life is over for certain."""
        runs = _sent_runs(worker)
        self._over_lives.add(worker.incarnation)
        self._context.note(
            "worker_gone", worker=worker.worker_id, reason=reason, runs=len(runs)
        )
        self._losses.on_incarnation_over(worker, now_ms=now_ms)
        if runs:
            self._context.count("run_ends", "worker_gone", len(runs))
            self._losses.on_worker_lost(worker, runs, is_certain=True, now_ms=now_ms)
        if not worker.runs:
            self._context.workers.pop(worker.worker_id, None)
        worker.is_listed = False

    def expire_leases(self, now_ms):
        """Release the runs whose leases are over on workers that do not answer."""
        for worker in list(self._context.workers.values()):
            silent = (
                worker.unanswered_in_row >= MAX_UNANSWERED_POLLS
                or not worker.entry.host
            )
            if worker.runs and silent and now_ms > worker.runs_until_ms:
                self._expire_runs(worker, now_ms)
            unlisted = not worker.is_listed and not worker.runs
            known_ms = max(
                worker.tracked_since_ms, worker.last_answer_ms, worker.leases_expired_ms
            )
            if unlisted and now_ms > known_ms + FORGET_MS:
                self._context.workers.pop(worker.worker_id, None)
                self._losses.forget(worker)

    def _expire_runs(self, worker, now_ms):
        runs = _sent_runs(worker)
        if not runs:
            return
        self._context.note(
            "leases_expired",
            worker=worker.worker_id,
            runs=len(runs),
            last_answer_ms_ago=round(now_ms - worker.last_answer_ms),
        )
        self._context.count("run_ends", "lease_expired", len(runs))
        for run in runs:
            run.task.expired_runs.add(run.run_id)
        self._losses.on_worker_lost(worker, runs, is_certain=False, now_ms=now_ms)
        worker.has_reported = False
        worker.leases_expired_ms = now_ms


def _sent_runs(worker):
    """Return the runs that may have been on a worker: their starts have left."""
    return [run for run in worker.runs.values() if run.was_sent]
