"""Drawn cases of an owner that lives on without the store, beside its successors.

It goes on renewing leases at workers that its successors can't reach. Some of these
said that they leave, and live on for long; some have no entry any more.
"""

import random

from attrs import define, evolve, field

from thymefork_cells.specs import Bounds

from .harness import Harness, job_spec

__all__ = ["PartitionCase"]

WORKERS = 16
JOBS = 20
GANG_JOBS = 2
LASTING_JOBS = 3
CUT_AT_MS = 5_000.0
# The store deals a cell anew once its member was silent for this long.
MEMBERSHIP_MS = 1_000.0
SLOWEST_CLOCK_RATE = 0.98
AFTER_TAKEOVER_MS = 25_000.0


@define(kw_only=True)
class PartitionCase:
    """Draw the moments of a case from its seed, and play it.

    The first owner is cut off from the store at once, or stays so after an outage for
    all. `leaving` are the entries of the workers that leave, `owners` the cells of the
    owners that were cut off.
    """

    seed: int
    harness: Harness = field(init=False)
    rng: random.Random = field(init=False)
    events: list = field(factory=list, init=False)
    leaving: list = field(factory=list, init=False)
    owners: list = field(factory=list, init=False)

    def play(self):
        """Play the case; return the harness."""
        self.rng = random.Random(f"partition {self.seed}")
        self.harness = Harness(workers=WORKERS)
        self.harness.take_over()
        self.harness.simulate_gangs(bounds=Bounds())
        self._prepare_workers()
        self._draw_jobs()
        self._draw_leaves()
        taken_over_ms = self._draw_owners()
        self._draw_restarts(taken_over_ms)
        for at_ms, action in sorted(self.events, key=lambda event: event[0]):
            if at_ms > self.harness.now:
                self.harness.env.run(until=at_ms)
            action()
        self.harness.run(AFTER_TAKEOVER_MS)
        return self.harness

    def _at(self, at_ms, action, *arguments):
        self.events.append((at_ms, lambda: action(*arguments)))

    # Workers and jobs ----------------------------------------------------------

    def _prepare_workers(self):
        for worker in self.harness.workers.values():
            worker.work_ms = self.rng.uniform(400.0, 9_000.0)
            worker.clock_rate = self.rng.choice((SLOWEST_CLOCK_RATE, 1.0))

    def _draw_jobs(self):
        for number in range(JOBS):
            first = {"count": 2, "cpu_milli": 1_000}
            second = {"count": 2, "cpu_milli": 1_000, "after": (0,)}
            at_ms = CUT_AT_MS - self.rng.uniform(100.0, 3_000.0)
            self._submit_at(at_ms, number, first, second)
        for number in range(JOBS, JOBS + GANG_JOBS):
            at_ms = CUT_AT_MS - self.rng.uniform(500.0, 3_000.0)
            gang = {"count": 3, "cpu_milli": 1_000, "gang": True}
            self._submit_at(at_ms, number, gang)
        for number in range(JOBS + GANG_JOBS, JOBS + GANG_JOBS + LASTING_JOBS):
            lasting = {"count": 2, "cpu_milli": 1_000, "long_running": True}
            self._submit_at(200.0, number, lasting)
            for worker in self.harness.workers.values():
                for index in range(2):
                    worker.work_ms_of[f"{number:016x}.0.0.{index}"] = 1e9

    def _submit_at(self, at_ms, number, *steps):
        spec = job_spec(*steps)
        self._at(at_ms, self.harness.submit, f"{number:016x}", spec)

    # Leaves and restarts -------------------------------------------------------

    def _draw_leaves(self):
        """Let workers say that they leave, some after the owner could read it."""
        self.leaving = self.rng.sample(self.harness.entries, 6)
        for entry in self.leaving:
            says_ms = CUT_AT_MS + self.rng.uniform(-3_000.0, 1_000.0)
            gone_ms = says_ms + self.rng.uniform(3_000.0, 15_000.0)
            # The entry of a living worker may vanish while the store is down.
            unlisted_ms = self.rng.choice((gone_ms, self.rng.uniform(says_ms, gone_ms)))
            leaves_in_ms = int(self.rng.uniform(2_000.0, 9_000.0))
            says = evolve(entry, draining=True, leaves_in_ms=leaves_in_ms)
            self._at(says_ms, self._replace_entry, entry, says)
            self._at(unlisted_ms, self._replace_entry, entry)
            worker = self.harness.workers[entry.worker_id]
            self._at(gone_ms, lambda worker=worker: self._end(worker))

    def _draw_restarts(self, taken_over_ms):
        """Let two workers restart under their ids."""
        staying = [one for one in self.harness.entries if one not in self.leaving]
        for entry in self.rng.sample(staying, 2):
            at_ms = self.rng.uniform(CUT_AT_MS - 500.0, taken_over_ms + 4_000.0)
            back_ms = at_ms + self.rng.uniform(20.0, 2_000.0)
            worker = self.harness.workers[entry.worker_id]
            self._at(at_ms, lambda worker=worker: self._end(worker))
            self._at(back_ms, self._begin, worker, entry)

    def _end(self, worker):
        worker.end_incarnation(self.harness.now)

    def _begin(self, worker, entry):
        worker.begin_incarnation(self.harness.now)
        born_epoch_ms = worker.born_epoch_ms
        self._replace_entry(entry, evolve(entry, born_epoch_ms=born_epoch_ms))

    def _replace_entry(self, entry, *entries):
        others = [
            one for one in self.harness.entries if one.worker_id != entry.worker_id
        ]
        self.harness.publish_worker_list([*others, *entries])

    # Owners --------------------------------------------------------------------

    def _draw_owners(self):
        """Draw the partition and the takeovers; return when the last one is."""
        rng, harness = self.rng, self.harness
        member_until_ms = CUT_AT_MS + MEMBERSHIP_MS - rng.uniform(0.0, 250.0)
        outage_ms = rng.choice((0.0, rng.uniform(1_000.0, 6_000.0)))
        taken_over_ms = max(member_until_ms, CUT_AT_MS + outage_ms)
        taken_over_ms += rng.uniform(0.0, 500.0)
        notices_fences, tells = rng.random() < 0.5, rng.random() < 0.6
        self._at(CUT_AT_MS, self._cut_owner_off, member_until_ms, notices_fences, tells)
        if rng.random() < 0.5:
            self._at(rng.uniform(CUT_AT_MS, taken_over_ms + 3_000.0), self._stop_first)
        self._draw_reach(taken_over_ms)
        if rng.random() < 0.5:
            taken_over_ms = self._draw_owner_between(taken_over_ms)
        self._at(taken_over_ms, harness.take_over)
        return taken_over_ms

    def _draw_reach(self, taken_over_ms):
        """Keep the successors away from some workers for a while.

        Nearly all of these leave; the first owner reaches them, and not all others.
        """
        rng, out_of_reach = self.rng, self.harness.partitions.out_of_reach
        leaving = [entry.worker_id for entry in self.leaving]
        others = sorted(set(self.harness.workers) - set(leaving))
        hidden = {*rng.sample(leaving, rng.randint(3, 6)), *rng.sample(others, 1)}
        unreached = rng.sample(others, rng.randint(0, 6))
        out_of_reach[1] = set()
        self._at(CUT_AT_MS, out_of_reach.update, {1: set(unreached)})
        out_of_reach[2] = out_of_reach[3] = hidden
        self._at(taken_over_ms + rng.uniform(2_000.0, 12_000.0), hidden.clear)

    def _draw_owner_between(self, taken_over_ms):
        """Let an owner come between that dies, maybe before it polled any worker."""
        rng, harness = self.rng, self.harness
        self._at(taken_over_ms, harness.take_over)
        ends_ms = taken_over_ms + rng.choice((0.0, rng.uniform(1.0, 3_000.0)))
        if rng.random() < 0.5:
            self._at(ends_ms, setattr, harness, "is_owner_down", True)
        else:
            until_ms = ends_ms + MEMBERSHIP_MS
            self._at(ends_ms, self._cut_owner_off, until_ms, True, rng.random() < 0.6)
        return ends_ms + MEMBERSHIP_MS + rng.uniform(0.0, 1_000.0)

    def _cut_owner_off(self, member_until_ms, notices_fences, tells):
        self.owners.append(self.harness.cell)
        self.harness.partitions.add(
            member_until_ms=member_until_ms, notices_fences=notices_fences, tells=tells
        )

    def _stop_first(self):
        """End the first owner as planned."""
        self.harness.partitions.stop(self.owners[0])
