"""Fairness between accounts in an overloaded cell, some of which flood it.

Jobs within a share are served as without the floods, the remaining capacity is divided
by weight regardless of job width, and no account starves.
"""

import random

import pytest

from thymefork_cells.specs import AccountPolicy

from .harness import job_spec
from .test_accounts import use_accounts

CORES = 8_000
WORKERS = 24
WORK_MS = 800.0


class FairnessSimulation:
    """Submit jobs of several accounts, and sample the cpu of each account."""

    def __init__(self, make_harness, weights, workers=WORKERS, **fields):
        self.harness = make_harness(workers=workers, cpu_milli=CORES, **fields)
        self.total_cpu_milli = workers * CORES
        policies = [AccountPolicy(name=name, weight=w) for name, w in weights.items()]
        use_accounts(self.harness, *policies)
        self.sent = {}
        self.held = {name: [] for name in weights}
        self.waiting_ms = dict.fromkeys(weights, 0.0)
        self.longest_wait_ms = dict.fromkeys(weights, 0.0)

    def send(self, name, count, queue="q"):
        job_id = f"{len(self.sent):016x}"
        step = {"count": count, "cpu_milli": 2_000, "estimated_ms": int(WORK_MS)}
        self.sent[job_id] = name
        self.harness.submit(job_id, job_spec(step), queue, account_name=name)

    def run(self, for_ms, interval_ms=50):
        for _ in range(int(for_ms // interval_ms)):
            self.harness.run(interval_ms)
            self._sample(interval_ms)

    def _sample(self, interval_ms):
        cpu = dict.fromkeys(self.held, 0)
        for task, _ in self.harness.running():
            cpu[self.sent[task.split(".")[0]]] += 2_000
        live = {job.account_name for job in self.jobs() if job.is_live}
        for name, held in self.held.items():
            held.append(cpu[name] / self.total_cpu_milli)
            waits = name in live and not cpu[name]
            self.waiting_ms[name] = (
                self.waiting_ms[name] + interval_ms if waits else 0.0
            )
            self.longest_wait_ms[name] = max(
                self.longest_wait_ms[name], self.waiting_ms[name]
            )

    def jobs(self):
        return self.harness.cell.context.jobs.values()

    def mean_held(self, name, last):
        return sum(self.held[name][-last:]) / last

    def in_time(self, name, within_ms, beyond=False):
        """Return the fraction of an account's jobs that ended in time."""
        jobs = [job for job in self.jobs() if job.account_name == name]
        jobs = [job for job in jobs if job.is_beyond_share is beyond]
        ends = [job.ended_ms and job.ended_ms - job.accepted_ms for job in jobs]
        return sum(0 < ms <= within_ms for ms in ends) / len(ends)


WEIGHTS = {f"a{number}": 2.0 for number in range(20)}
FLOODS = {"a1": 5, "a4": 7, "a9": 6, "a12": 5, "a17": 7}


def run_twenty_accounts(make_harness, seed, floods=FLOODS, meanwhile=None):
    """Submit a job per second for each account, more for flooding ones."""
    simulation = FairnessSimulation(make_harness, WEIGHTS)
    rng = random.Random(seed)
    for tenth in range(100):
        for name in WEIGHTS:
            rate = 1.0 * (floods.get(name, 1) if 20 <= tenth < 70 else 1)
            for _ in range(int(rate / 10 + rng.random())):
                simulation.send(name, min(24, 1 + int(rng.expovariate(1 / 3.0))))
        simulation.run(100)
        if meanwhile and tenth == 45:
            meanwhile(simulation)
    simulation.run(3_000)
    return simulation


@pytest.mark.parametrize("seed", [1, 2])
def test_floods_do_not_delay_accounts_within_their_share(make_harness, seed):
    simulation = run_twenty_accounts(make_harness, seed)
    worst = min(simulation.in_time(name, 2 * WORK_MS + 400) for name in WEIGHTS)
    assert worst >= 0.8
    assert max(simulation.longest_wait_ms.values()) < 3_000


@pytest.mark.parametrize("seed", [1, 2])
def test_shares_hold_after_a_takeover(make_harness, seed):
    """The new owner does not know the past usage of the accounts."""
    simulation = run_twenty_accounts(
        make_harness, seed, meanwhile=lambda simulation: fail_over(simulation)
    )
    worst = min(simulation.in_time(name, 2 * WORK_MS + 1_400) for name in WEIGHTS)
    assert worst >= 0.8
    assert max(simulation.longest_wait_ms.values()) < 3_000


def fail_over(simulation):
    simulation.harness.is_owner_down = True
    simulation.run(300)
    simulation.harness.take_over()


def overload(simulation, for_ms, meanwhile=None, width=40, jobs=1):
    """Overload the cell with wide jobs of one account and small jobs of another."""
    for step in range(int(for_ms // 200)):
        for _ in range(jobs * 40 // width):
            simulation.send("wide", width)
        for _ in range(14):
            simulation.send("small", 3)
        simulation.run(200)
        if meanwhile and step == 10:
            meanwhile(simulation)


@pytest.mark.parametrize("meanwhile", [None, fail_over])
def test_wide_jobs_get_no_more_than_small_ones(make_harness, meanwhile):
    simulation = FairnessSimulation(make_harness, {"wide": 0.1, "small": 0.1})
    overload(simulation, 6_000, meanwhile, jobs=3)
    held = simulation.mean_held("wide", 60), simulation.mean_held("small", 60)
    assert sum(held) > 0.85  # no capacity stays idle under load
    assert min(held) > 0.35


def test_capacity_is_divided_by_weight(make_harness):
    simulation = FairnessSimulation(make_harness, {"wide": 0.05, "small": 0.15})
    overload(simulation, 8_000, width=10)
    ratio = simulation.mean_held("small", 80) / simulation.mean_held("wide", 80)
    assert 2.0 < ratio < 4.5


def test_idle_share_is_used_by_others_and_recovers_in_3_s(make_harness):
    simulation = FairnessSimulation(make_harness, {"wide": 0.1, "small": 0.1})
    for _ in range(20):
        simulation.send("wide", 40)
        simulation.run(200)
    assert simulation.mean_held("wide", 20) > 0.85
    overload(simulation, 3_000)
    assert simulation.mean_held("small", 60) > 0.4
    overload(simulation, 5_000)  # idle time earns no credit
    assert 0.35 < simulation.mean_held("wide", 50) < 0.65


POLICY = {"decision_ms": 60.0, "per_worker_ms": 1.0, "valid_ms": 2_500.0}


@pytest.mark.parametrize("fields", [{}, {"advice": POLICY, "advisers": 2}])
def test_account_beyond_its_share_does_not_starve(make_harness, fields):
    """Other accounts use all capacity and advice calls within their shares."""
    weights = {f"b{number}": 50.0 for number in range(4)} | {"a": 0.1}
    simulation = FairnessSimulation(make_harness, weights, workers=4, **fields)
    queue = "q" if fields else "batch"  # only the urgent queue has a policy
    for _ in range(40):
        for number in range(4):
            simulation.send(f"b{number}", 4)
        simulation.send("a", 2, queue=queue)
        simulation.run(200)
    assert simulation.longest_wait_ms["a"] < 3_000


def test_logs_and_counters_show_share_decisions(make_harness):
    simulation = FairnessSimulation(make_harness, {"wide": 0.1, "small": 0.1})
    overload(simulation, 3_000)
    counts = simulation.harness.counts
    assert counts["within_share"] > 0
    assert counts["beyond_share"] > 0
    notes = [note for note in simulation.harness.notes if note.event == "tasks_start"]
    assert any(note.fields["account_uses"] > 0.2 for note in notes)
