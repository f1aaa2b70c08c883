"""Crashes, restarts and disconnections of a harness's workers."""

from attrs import evolve, frozen

from .virtual_worker import VirtualWorker

__all__ = ["Crash", "MachineFaults"]

# Time after which a crashed worker's list entry is removed.
ENTRY_TTL_MS = 1_500.0


@frozen(kw_only=True)
class Crash:
    """Crash of a worker, and the tasks that it ran."""

    at_ms: float
    worker_id: str
    tasks: frozenset


class MachineFaults:
    """Crash, restart and disconnect the workers of a harness."""

    def __init__(self, *, harness):
        self._harness = harness
        self._removed_entries = {}

    def crash_if_running(self, task, worker, after_ms):
        yield self._harness.env.timeout(after_ms)
        worker.advance(self._harness.now)
        if any(name == task for name, _ in worker.running):
            self.crash(worker)

    def crash(self, worker):
        """Crash a worker; its machine returns under a new or the same worker id."""
        worker.advance(self._harness.now)
        tasks = frozenset(name for name, _ in worker.running)
        self._harness.crashes.append(
            Crash(at_ms=self._harness.now, worker_id=worker.worker_id, tasks=tasks)
        )
        if self._harness.keeps_worker_ids:
            self.restart(
                worker,
                away_ms=self._harness.return_delay_ms,
                entry_delay_ms=self._harness.entry_delay_ms,
            )
            return
        worker.end_incarnation(self._harness.now)
        self._harness.env.process(self._return(worker))

    def restart(self, worker, *, away_ms, entry_delay_ms=0.0):
        """Restart a worker under the same id.

        Its list entry is removed after a while; the new incarnation writes it again
        `entry_delay_ms` after its start.
        """
        worker.end_incarnation(self._harness.now)
        self._harness.env.process(self._restart(worker, away_ms, entry_delay_ms))

    def disconnect_worker(self, worker, *, for_ms):
        """Make a worker unreachable for a while, unless it restarts meanwhile."""
        worker.is_unreachable = True
        self._harness.env.process(self._reconnect(worker, worker.born_epoch_ms, for_ms))

    def _reconnect(self, worker, born_epoch_ms, for_ms):
        yield self._harness.env.timeout(for_ms)
        if worker.born_epoch_ms == born_epoch_ms:
            worker.is_unreachable = False

    def _restart(self, worker, away_ms, entry_delay_ms):
        entry = self._last_entry_of(worker)
        removal_delay_ms = min(ENTRY_TTL_MS, away_ms)
        yield self._harness.env.timeout(removal_delay_ms)
        if away_ms > ENTRY_TTL_MS:
            self._harness.publish_worker_list(
                [
                    one
                    for one in self._harness.entries
                    if one.worker_id != entry.worker_id
                ]
            )
        yield self._harness.env.timeout(away_ms - removal_delay_ms)
        worker.begin_incarnation(self._harness.now)
        born_epoch_ms = worker.born_epoch_ms
        yield self._harness.env.timeout(entry_delay_ms)
        others = [
            one for one in self._harness.entries if one.worker_id != entry.worker_id
        ]
        if worker.born_epoch_ms == born_epoch_ms and not worker.is_unreachable:
            self._harness.publish_worker_list(
                [*others, evolve(entry, born_epoch_ms=born_epoch_ms)]
            )

    def _last_entry_of(self, worker):
        """Return a worker's list entry, or its last one if it was removed."""
        entries = {one.worker_id: one for one in self._harness.entries}
        entry = entries.get(
            worker.worker_id, self._removed_entries.get(worker.worker_id)
        )
        self._removed_entries[worker.worker_id] = entry
        return entry

    def _return(self, worker):
        removal_delay_ms = min(ENTRY_TTL_MS, self._harness.return_delay_ms)
        yield self._harness.env.timeout(removal_delay_ms)
        entry = next(
            one for one in self._harness.entries if one.worker_id == worker.worker_id
        )
        self._harness.publish_worker_list(
            [one for one in self._harness.entries if one is not entry]
        )
        yield self._harness.env.timeout(
            self._harness.return_delay_ms - removal_delay_ms
        )
        worker.is_replaced = True
        new_id = f"{worker.worker_id}+"
        self._harness.workers[new_id] = VirtualWorker(
            worker_id=new_id, work_ms=worker.work_ms, clock_offset_ms=1_000.0
        )
        self._harness.capacity_history[new_id] = [(float("-inf"), entry.cpu_milli)]
        self._harness.publish_worker_list(
            [*self._harness.entries, evolve(entry, worker_id=new_id)]
        )
