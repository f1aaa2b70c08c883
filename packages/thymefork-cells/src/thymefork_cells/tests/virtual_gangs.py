"""Gang semantics on virtual workers: members start and end together."""

from collections import defaultdict

__all__ = ["VirtualGangs"]

STEP_MS = 5.0


class VirtualGangs:
    """Start gangs once all members are present, and end them with their first member.

    `incomplete_gangs` lists members that waited in vain, as time, worker and task;
    `started_gangs` holds the gangs that were complete once.
    """

    def __init__(self, *, harness, wait_ms):
        self._harness = harness
        self._wait_ms = wait_ms
        self.incomplete_gangs = []
        self.started_gangs = set()

    def on_run_started(self, worker, task, run_id):
        """Prevent a gang member from ending by itself."""
        run = worker.running.get((task, run_id))
        if run is not None and self._harness.step_of(task).gang:
            run.ends_ms = float("inf")

    def run(self):
        """Update the gangs periodically."""
        while True:
            self._review()
            yield self._harness.env.timeout(STEP_MS)

    def _review(self):
        for gang, members in self._members().items():
            task = members[0][1].task
            count = self._harness.step_of(task).count
            if gang in self.started_gangs:
                if len(members) < count:
                    self._end_all(gang, members)
            elif len(members) == count:
                self._begin(gang, members)
            else:
                self._end_waiting(members)

    def _members(self):
        gangs = defaultdict(list)
        for worker in self._harness.workers.values():
            worker.advance(self._harness.now)
            for run in worker.running.values():
                if self._harness.step_of(run.task).gang:
                    name = (run.task.rpartition(".")[0], run.run_id)
                    gangs[name].append((worker, run))
        return gangs

    def _begin(self, gang, members):
        self.started_gangs.add(gang)
        ends_ms = self._harness.now + max(worker.work_ms for worker, _ in members)
        for _, run in members:
            run.ends_ms = ends_ms

    def _end_all(self, gang, members):
        """End the remaining members of a gang after its first one has ended."""
        step, run_id = gang
        how = {
            run.how
            for worker in self._harness.workers.values()
            for run in worker.history
            if run.run_id == run_id and run.task.rpartition(".")[0] == step
            if run.ended_ms is not None
        }
        for worker, run in members:
            worker.end((run.task, run.run_id), "done" if "done" in how else "broken")

    def _end_waiting(self, members):
        for worker, run in members:
            if self._harness.now - run.began_ms >= self._wait_ms:
                self.incomplete_gangs.append(
                    (self._harness.now, worker.worker_id, run.task)
                )
                worker.end((run.task, run.run_id), "alone")
