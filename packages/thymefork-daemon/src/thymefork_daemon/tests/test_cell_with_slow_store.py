"""Tests of a cell, its scheduling loop and its appends with random store faults.

Jobs and cancellations that were confirmed to callers must be in the store, refused jobs
must not.
"""

import random
from types import SimpleNamespace

import pytest

from thymefork_cells import Cell, encode_spec
from thymefork_cells.effects import Outcome, Reply
from thymefork_cells.jobs.codec import JOB_KEY, PROGRESS_KEY
from thymefork_cells.specs import Bounds, Configuration, JobSpec, StepSpec
from thymefork_cells.state import JobState
from thymefork_daemon.owner import append_pipeline, scheduling_loop
from thymefork_daemon.owner.append_pipeline import AppendPipeline
from thymefork_daemon.owner.cell_partition import CellPartition
from thymefork_daemon.owner.scheduling_loop import SchedulingLoop

from .fakes import FakeMetrics
from .sequenced_store import FAULTS, SequencedStore, jittered

CLOCK_MODULES = (append_pipeline, scheduling_loop)
CASES = 60
REQUESTS_MS = 5_000.0
OUTAGE_MS = 400.0
RECOVERY_MS = 10_000.0
SPEC = encode_spec(JobSpec(steps=(StepSpec(count=1, cpu_milli=500),)))


class SimulatedOwner:
    """Send random requests and check each reply against the store."""

    def __init__(self, timers, seed):
        self.timers, self.rng = timers, random.Random(seed)
        self.fault_probability = self.rng.choice([0.0, 0.1, 0.4])
        self.until_ms = timers.now_ms + REQUESTS_MS
        self.outages_ms = self.rng.choice([(), (1_000.0, 3_000.0)])
        self.store = SequencedStore(
            timers=timers,
            latency_ms=jittered(self.rng, 100.0, 0.6),
            service_time_ms=jittered(self.rng, 60.0),
            draw_fault=self.draw_fault,
            delayed_ms=lambda: self.rng.uniform(500.0, 4_000.0),
        )
        self.cell = Cell(
            cell=0,
            epoch=1,
            cell_count=1,
            bounds=Bounds(),
            configuration=Configuration(version=1),
            membership_ms=1_000.0,
            now_ms=timers.now_ms,
        )
        self.outcomes = {}
        self.lost = []
        self.pipeline = AppendPipeline(
            partition=CellPartition(store=self.store, cell=0, partition=7, epoch=1),
            timers=timers,
            metrics=FakeMetrics(),
            last_sequence=0,
            may_write=lambda: True,
            on_ownership_lost=self.lost.append,
        )
        self.loop = SchedulingLoop(
            cell=self.cell,
            ownership=SimpleNamespace(is_renewed=lambda: True),
            pipeline=self.pipeline,
            executor=SimpleNamespace(execute=self.execute),
            timers=timers,
            worker_list_as_of_ms=lambda: timers.now_ms,
        )
        self.loop.run_cycle()
        self.send_request()

    def draw_fault(self, number):
        left_ms = self.until_ms - self.timers.now_ms
        if any(0.0 < left_ms - outage_ms < OUTAGE_MS for outage_ms in self.outages_ms):
            return "busy"
        if (
            self.timers.now_ms > self.until_ms
            or self.rng.random() > self.fault_probability
        ):
            return ""
        return self.rng.choice(FAULTS)

    def send_request(self):
        """Submit a job, or cancel one that was submitted."""
        if self.timers.now_ms > self.until_ms:
            return
        now_ms, intake = self.timers.now_ms, self.cell.intake
        if self.rng.random() < 0.7 or not self.cell.context.jobs:
            job_id = f"{self.rng.getrandbits(64):016x}"
            intake.submit(("submit", job_id), job_id, "q", SPEC, now_ms=now_ms)
        else:
            job_id = self.rng.choice(list(self.cell.context.jobs))
            intake.cancel(("cancel", job_id), job_id, now_ms=now_ms)
        self.loop.apply_effects()
        self.timers.after(self.rng.expovariate(1 / 20.0), self.send_request)

    def execute(self, effects):
        for effect in effects:
            if isinstance(effect, Reply):
                self.check(effect)

    def check(self, reply):
        """Check that a confirmed change is stored, and record the reply."""
        _, job_id = reply.reply_to
        self.outcomes.setdefault(reply.reply_to, []).append(reply.outcome)
        if reply.outcome is Outcome.ACCEPTED:
            assert {JOB_KEY + job_id, PROGRESS_KEY + job_id} & self.written()
        elif reply.outcome is Outcome.CANCELLED:
            assert PROGRESS_KEY + job_id in self.written()

    def written(self):
        """Return the keys that have had a value."""
        return {key for key, value in self.store.stored if value}


@pytest.mark.parametrize("seed", range(CASES))
def test_confirmed_requests_are_stored(timers, seed):
    owner = SimulatedOwner(timers, seed)
    timers.run(REQUESTS_MS + RECOVERY_MS)
    assert not owner.lost and not owner.pipeline.is_busy
    assert owner.cell.journal.is_empty
    accepted = set()
    for (kind, job_id), outcomes in owner.outcomes.items():
        if kind != "submit":
            continue
        assert len(outcomes) == 1
        if outcomes == [Outcome.ACCEPTED]:
            accepted.add(job_id)
        else:
            assert JOB_KEY + job_id not in owner.written()
    assert accepted == set(owner.cell.context.jobs)
    newest = dict(owner.store.stored)
    for job_id, job in owner.cell.context.jobs.items():
        assert job.visible_state is job.state
        has_job_record = bool(newest.get(JOB_KEY + job_id))
        assert has_job_record == (job.state is JobState.QUEUED)
