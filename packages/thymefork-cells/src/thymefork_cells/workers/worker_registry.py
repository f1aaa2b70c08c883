"""Registry of a cell's workers: their entries, incarnations and expired leases."""

from ..hashing import cell_of
from ..specs import WorkerEntry
from ..state import Worker
from .incarnations import IncarnationMatch

__all__ = ["WorkerRegistry"]

# An unlisted worker without runs is removed this long after its last answer or the
# expiry of its leases. Until then its machine may report that it has crashed.
REMOVE_AFTER_MS = 10_000.0


class WorkerRegistry:
    """Keep the workers of a cell up to date."""

    def __init__(self, *, context, losses, incarnations):
        self._context = context
        self._losses = losses
        self._incarnations = incarnations
        self._ended_incarnations = set()  # those whose entries are still listed
        self._services = set()  # all that a configuration or a job has named
        self._foreign_ids = set()  # of entries that name no worker of these

    def get_or_add_placeholder(self, worker_id):
        """Return the worker with this id; add one without capacity if it is unknown."""
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

    def add_unlisted(self, entry, *, now_ms):
        """Add a worker by its last known entry, so that it can be asked."""
        worker = self.get_or_add_placeholder(entry.worker_id)
        if worker.entry.host:
            return
        worker.entry = entry
        worker.is_recorded = True
        worker.tracked_since_ms = worker.unlisted_since_ms = now_ms

    @property
    def unlisted_count(self):
        """Return how many workers have runs but are not listed by the platform."""
        return sum(
            1
            for worker in self._context.workers.values()
            if worker.runs and not worker.is_listed
        )

    def update(self, entries, *, now_ms):
        """Apply the platform's list of workers."""
        own_entries = self._own_entries(entries)
        for worker in list(self._context.workers.values()):
            if worker.worker_id not in own_entries and worker.is_listed:
                worker.is_listed = False
                worker.unlisted_since_ms = now_ms
                worker.last_answer_ms = worker.last_answer_ms or now_ms
                self._context.note("worker_unlisted", worker=worker.worker_id)
        self._ended_incarnations &= {
            entry.incarnation for entry in own_entries.values()
        }
        for entry in own_entries.values():
            # The entry of a crashed worker remains listed for some heartbeats.
            if entry.incarnation not in self._ended_incarnations:
                self._apply_entry(entry, now_ms)
        self._end_replaced_incarnations(own_entries, now_ms)
        self._context.needs_plan = True

    def _own_entries(self, entries):
        """Return the entries of the cell's workers by worker id."""
        own_entries = {
            entry.worker_id: entry
            for entry in entries
            if cell_of(entry.machine_id or entry.worker_id, self._context.cell_count)
            == self._context.cell
        }
        self._services |= self._context.service_names
        foreign = {
            worker_id
            for worker_id, entry in own_entries.items()
            if self._is_foreign(entry)
        }
        for worker_id in foreign - self._foreign_ids:
            self._context.count("odd_answers", "worker_service")
            service = own_entries[worker_id].service
            self._context.note(
                "worker_of_unknown_service", worker=worker_id, service=service
            )
        self._foreign_ids = foreign
        return {key: own_entries[key] for key in own_entries if key not in foreign}

    def _is_foreign(self, entry):
        """Return whether an entry names no worker of any service that was ever named.

        A service may leave the configuration for a while: its workers' runs go on.
        """
        if entry.service in self._services:
            return False
        worker = self._context.workers.get(entry.worker_id)
        return worker is None or not worker.runs

    def _apply_entry(self, entry, now_ms):
        worker = self._context.workers.get(entry.worker_id)
        if worker is None:
            worker = Worker(
                entry=entry,
                born_epoch_ms=entry.born_epoch_ms,
                incarnation_number=self._incarnations.incarnation_number(
                    entry.worker_id, entry.born_epoch_ms
                ),
                tracked_since_ms=now_ms,
                poll_due_ms=now_ms,
            )
            self._keep_promise(worker)
            self._context.workers[entry.worker_id] = worker
            self._context.note("worker_listed", worker=entry.worker_id)
            return
        if worker.entry == entry and worker.is_listed:
            return
        relation = self._incarnations.match_entry(worker, entry)
        if relation is IncarnationMatch.EARLIER:
            return  # the worker has restarted and its new entry was not read yet
        if relation is IncarnationMatch.NEXT:
            worker = self._incarnations.start_next(
                worker, entry=entry, born_epoch_ms=entry.born_epoch_ms, now_ms=now_ms
            )
        self._log_capacity_change(worker, entry)
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

    def _keep_promise(self, worker):
        """Give a worker that was forgotten and came back the leases of its promise."""
        promised = self._context.short_lease_workers
        worker.has_short_leases = worker.worker_id in promised

    def _log_capacity_change(self, worker, entry):
        """Log a change of a running worker's capacity."""
        previous_entry = worker.entry
        previous_capacity = (
            previous_entry.cpu_milli,
            previous_entry.memory_mb,
            previous_entry.accelerators,
        )
        is_unknown = not previous_entry.host or previous_entry.is_lapsed
        if is_unknown or previous_capacity == (
            entry.cpu_milli,
            entry.memory_mb,
            entry.accelerators,
        ):
            return
        self._context.note(
            "worker_room_changed",
            worker=entry.worker_id,
            cpu_milli=entry.cpu_milli,
            was_cpu_milli=previous_entry.cpu_milli,
            held_cpu_milli=worker.held_cpu_milli,
            memory_mb=entry.memory_mb,
            was_memory_mb=previous_entry.memory_mb,
            accelerators=entry.accelerators,
        )

    def _end_replaced_incarnations(self, own_entries, now_ms):
        incarnations = {
            entry.machine_id: entry.worker_id for entry in own_entries.values()
        }
        for worker in list(self._context.workers.values()):
            machine_id = worker.entry.machine_id
            if not machine_id or worker.worker_id in own_entries:
                continue
            if incarnations.get(machine_id, worker.worker_id) != worker.worker_id:
                self.end_incarnation(
                    worker, "its machine runs a new worker", now_ms=now_ms
                )

    def end_incarnation(self, worker, reason, *, now_ms):
        """Release the runs of a worker whose incarnation is certainly over."""
        if worker.is_over:
            return  # a later one is tracked under its id
        runs = _sent_runs(worker)
        for run in runs:
            run.start_pending_since_ms = 0.0  # the worker that follows has another id
        self._ended_incarnations.add(worker.incarnation)
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
        """Release the runs of workers without contact whose leases have expired."""
        for worker in list(self._context.workers.values()):
            if worker.runs and worker.has_no_contact and now_ms > worker.runs_until_ms:
                self._expire_runs(worker, now_ms)
            unlisted = not worker.is_listed and not worker.runs
            last_seen_ms = max(
                worker.tracked_since_ms, worker.last_answer_ms, worker.leases_expired_ms
            )
            if unlisted and now_ms > last_seen_ms + REMOVE_AFTER_MS:
                self._context.workers.pop(worker.worker_id, None)

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
    """Return the runs that a worker may have started."""
    return [run for run in worker.runs.values() if run.was_sent]
