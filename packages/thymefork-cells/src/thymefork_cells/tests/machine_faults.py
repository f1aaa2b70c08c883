"""Workers of a harness that crash, restart or are cut off."""

from attrs import evolve, frozen

from .virtual_worker import VirtualWorker

__all__ = ["Crash", "MachineFaults"]

# The entry of a worker that has crashed goes after three heartbeats of silence.
LAPSE_MS = 1_500.0


@frozen(kw_only=True)
class Crash:
    """Hold a crash of a worker and the tasks that it ran."""

    at_ms: float
    worker_id: str
    tasks: frozenset


class MachineFaults:
    """End and begin the lives of a harness's workers, and keep them out of reach."""

    def __init__(self, *, harness):
        self._harness = harness
        self._gone_entries = {}

    def crash_if_running(self, task, worker, after_ms):
        yield self._harness.env.timeout(after_ms)
        worker.advance(self._harness.now)
        if any(name == task for name, _ in worker.running):
            self.crash(worker)

    def crash(self, worker):
        """End a worker's life; its machine comes back, as another worker or as it."""
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
        self._harness.env.process(self._come_back(worker))

    def restart(self, worker, *, away_ms, entry_delay_ms=0.0):
        """End a worker's life; another begins under its id.

        Its entry goes after three heartbeats, and is written by the new life a while
        after that has begun.
        """
        worker.end_incarnation(self._harness.now)
        self._harness.env.process(self._begin_again(worker, away_ms, entry_delay_ms))

    def disconnect_worker(self, worker, *, for_ms):
        """Keep a worker out of reach for a while, unless its life ends meanwhile."""
        worker.is_unreachable = True
        self._harness.env.process(
            self._reach_again(worker, worker.born_epoch_ms, for_ms)
        )

    def _reach_again(self, worker, born_epoch_ms, for_ms):
        yield self._harness.env.timeout(for_ms)
        if worker.born_epoch_ms == born_epoch_ms:
            worker.is_unreachable = False

    def _begin_again(self, worker, away_ms, entry_delay_ms):
        entry = self._last_entry_of(worker)
        lapse_ms = min(LAPSE_MS, away_ms)
        yield self._harness.env.timeout(lapse_ms)
        if away_ms > LAPSE_MS:
            self._harness.publish_worker_list(
                [
                    one
                    for one in self._harness.entries
                    if one.worker_id != entry.worker_id
                ]
            )
        yield self._harness.env.timeout(away_ms - lapse_ms)
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
        """Return what a worker's entry said last, though it may have gone since."""
        entries = {one.worker_id: one for one in self._harness.entries}
        entry = entries.get(worker.worker_id, self._gone_entries.get(worker.worker_id))
        self._gone_entries[worker.worker_id] = entry
        return entry

    def _come_back(self, worker):
        lapse_ms = min(LAPSE_MS, self._harness.return_delay_ms)
        yield self._harness.env.timeout(lapse_ms)
        entry = next(
            one for one in self._harness.entries if one.worker_id == worker.worker_id
        )
        self._harness.publish_worker_list(
            [one for one in self._harness.entries if one is not entry]
        )
        yield self._harness.env.timeout(self._harness.return_delay_ms - lapse_ms)
        worker.is_replaced = True
        new_id = f"{worker.worker_id}+"
        self._harness.workers[new_id] = VirtualWorker(
            worker_id=new_id, work_ms=worker.work_ms, clock_offset_ms=1_000.0
        )
        self._harness.capacity_history[new_id] = [(float("-inf"), entry.cpu_milli)]
        self._harness.publish_worker_list(
            [*self._harness.entries, evolve(entry, worker_id=new_id)]
        )
