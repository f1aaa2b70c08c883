"""Learning of worker speeds from run durations."""

import random
from math import exp, log
from types import SimpleNamespace

import pytest

from thymefork_cells.estimates import (
    LearnedSpeed,
    SpeedAnnouncements,
    WorkerSpeeds,
    worker_speeds,
)
from thymefork_cells.estimates.worker_speeds import CHANGED_AFTER_MS
from thymefork_cells.specs import StepSpec

SLOW = 1.0 / 0.7
FAST = 1.0 / 1.7
# Tolerated factor between learned and real slowness.
TOLERANCE = 1.25


class Fleet:
    """Simulate tasks of some images on machines of given slowness."""

    def __init__(self, slownesses, *, seed=1, tail_share=0.0, estimate_spread=0.3):
        self.random = random.Random(seed)
        self.slowness = {f"m{n}": value for n, value in enumerate(slownesses)}
        self.speeds = WorkerSpeeds()
        self.tail_share = tail_share
        self.estimate_spread = estimate_spread
        self.work_ms = {f"i{n}": self.random.uniform(300, 4_000) for n in range(12)}
        self.now_ms = 0.0
        self.outliers = 0
        self.steps = 0
        self.born_epoch_ms = 1

    def run_each(self, rounds, *, bias=1.0):
        """End one run per machine and round, every 500 ms, in steps of three tasks.

        `bias` is the factor by which callers' estimates are too high.
        """
        for _ in range(rounds):
            self.now_ms += 500.0
            machines = list(self.slowness)
            self.random.shuffle(machines)
            for first in range(0, len(machines), 3):
                self._run_step(machines[first : first + 3], bias)
        self.speeds.review(list(self.slowness))

    def _run_step(self, machines, bias):
        image, usual_ms = self.random.choice(list(self.work_ms.items()))
        work_ms = usual_ms * self.random.lognormvariate(0.0, 0.2)
        error = self.random.lognormvariate(0.0, self.estimate_spread)
        step = StepSpec(image=image, estimated_ms=int(work_ms * error * bias))
        self.steps += 1
        for machine in machines:
            took_ms = work_ms * self.slowness[machine] * self.random.uniform(0.7, 1.3)
            if self.random.random() < self.tail_share:
                took_ms *= 7.0
            self.outliers += self.speeds.learn(
                worker=SimpleNamespace(
                    machine=machine, born_epoch_ms=self.born_epoch_ms
                ),
                step_name=f"s{self.steps}",
                step=step,
                took_ms=took_ms,
                now_ms=self.now_ms,
            )

    def error_factor(self, machine):
        """Return the error factor of a machine's learned slowness."""
        learned = exp(self.speeds.log_slowness(machine))
        return max(learned / self.slowness[machine], self.slowness[machine] / learned)

    def accurate_share(self):
        """Return the share of machines whose learned slowness is accurate."""
        accurate = [self.error_factor(machine) < TOLERANCE for machine in self.slowness]
        return sum(accurate) / len(accurate)


HETEROGENEOUS = [SLOW, SLOW, FAST] * 8


@pytest.mark.parametrize("seed", range(1, 6))
def test_speeds_are_learned_after_few_runs(seed):
    fleet = Fleet(HETEROGENEOUS, seed=seed)
    fleet.run_each(6)
    assert fleet.speeds.is_heterogeneous
    assert fleet.accurate_share() >= 0.8


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("estimate_spread", [0.2, 0.9])
def test_long_tails_and_poor_estimates_are_tolerated(seed, estimate_spread):
    fleet = Fleet(
        HETEROGENEOUS, seed=seed, tail_share=0.03, estimate_spread=estimate_spread
    )
    fleet.run_each(30)
    slow = [
        exp(fleet.speeds.log_slowness(m)) for m, s in fleet.slowness.items() if s > 1
    ]
    fast = [
        exp(fleet.speeds.log_slowness(m)) for m, s in fleet.slowness.items() if s < 1
    ]
    assert min(slow) > 1.5 * max(fast)
    assert fleet.outliers > 0


@pytest.mark.parametrize("seed", range(1, 41))
def test_homogeneous_workers_keep_slowness_one(seed):
    """Placement on homogeneous workers must not depend on learned speeds."""
    fleet = Fleet([1.0] * 24, seed=seed, tail_share=0.03, estimate_spread=0.9)
    for _ in range(40):
        fleet.run_each(1)
        assert not fleet.speeds.is_heterogeneous
        assert {fleet.speeds.slowness(m) for m in fleet.slowness} == {1.0}


def test_too_high_estimates_make_no_worker_fast():
    fleet = Fleet([1.0] * 24)
    fleet.run_each(40, bias=2.0)
    assert not fleet.speeds.is_heterogeneous


def test_temporary_slowness_is_not_learned():
    fleet = Fleet(HETEROGENEOUS)
    fleet.run_each(10)
    before = {machine: fleet.speeds.log_slowness(machine) for machine in fleet.slowness}
    fleet.slowness["m0"] = 5.0 * SLOW
    fleet.run_each(12)
    assert abs(fleet.speeds.log_slowness("m0") - before["m0"]) < 0.2


def test_recovery_from_initial_slowness_is_learned():
    fleet = Fleet(HETEROGENEOUS)
    fleet.slowness["m0"] = 5.0 * SLOW
    fleet.run_each(10)
    fleet.slowness["m0"] = SLOW
    fleet.run_each(12)
    assert fleet.error_factor("m0") < TOLERANCE


def test_permanent_change_is_learned():
    fleet = Fleet(HETEROGENEOUS)
    fleet.run_each(10)
    fleet.slowness["m2"] = 4.0 * FAST
    fleet.run_each(int(CHANGED_AFTER_MS / 500) + 30)
    assert fleet.error_factor("m2") < TOLERANCE


def test_small_drift_is_learned():
    fleet = Fleet(HETEROGENEOUS)
    fleet.run_each(10)
    fleet.slowness["m0"] *= 1.4
    fleet.run_each(60)
    assert fleet.error_factor("m0") < TOLERANCE


def test_restart_keeps_the_speed_with_higher_variance():
    fleet = Fleet(HETEROGENEOUS)
    fleet.run_each(10)
    known = fleet.speeds.log_slowness("m2")
    fleet.born_epoch_ms = 2
    fleet.run_each(1)
    assert abs(fleet.speeds.log_slowness("m2") - known) < 0.25
    assert fleet.speeds.is_heterogeneous


def test_inherited_speeds_apply_at_once_and_are_corrected():
    speeds = WorkerSpeeds()
    announced = [
        LearnedSpeed(machine=f"m{n}", log_slowness=0.36 if n % 3 else -0.53)
        for n in range(24)
    ]
    speeds.inherit(announced, 0.0)
    assert speeds.review([f"m{n}" for n in range(24)])
    assert speeds.slowness("m0") < 0.7 < 1.3 < speeds.slowness("m1")
    fleet = Fleet([1.0] * 24)
    fleet.speeds = speeds
    fleet.run_each(30)
    assert not speeds.is_heterogeneous


def test_number_of_machines_and_images_is_bounded(monkeypatch):
    monkeypatch.setattr(worker_speeds, "MAX_MACHINES", 10)
    monkeypatch.setattr(worker_speeds, "MAX_IMAGES", 5)
    fleet = Fleet([1.0] * 30)
    fleet.run_each(3)
    assert len(fleet.speeds._machines) == 10
    assert len(fleet.speeds._images) == 5


def test_only_notable_changes_are_announced():
    fleet = Fleet(HETEROGENEOUS)
    fleet.run_each(10)
    machines = list(fleet.slowness)
    announcements = SpeedAnnouncements(speeds=fleet.speeds)
    first = announcements.next_batch(machines, 10, fleet.now_ms)
    second = announcements.next_batch(machines, 100, fleet.now_ms)
    assert len(first) == 10
    assert not {row.machine for row in first} & {row.machine for row in second}
    fleet.run_each(1)
    assert len(announcements.next_batch(machines, 100, fleet.now_ms)) <= 5


def test_machines_are_classified_by_deviation():
    speeds = WorkerSpeeds()
    announced = {"m0": 0.0, "m1": log(1.5), "m2": -log(1.5), "m3": log(15.0)}
    rows = [
        LearnedSpeed(machine=m, log_slowness=value) for m, value in announced.items()
    ]
    speeds.inherit(rows, 0.0)
    kinds = {machine: kind for machine, kind, _ in speeds.newly_notable(announced)}
    assert kinds == {"m1": "slow", "m2": "fast", "m3": "far_slower"}
    assert not speeds.newly_notable(announced)


def test_state_stays_bounded_with_changing_machines():
    speeds, rng = WorkerSpeeds(), random.Random(1)
    for number in range(30_000):
        speeds.learn(
            worker=SimpleNamespace(machine=f"m{number // 3}", born_epoch_ms=number),
            step_name=f"s{number // 4}",
            step=StepSpec(image=f"i{number % 7}", estimated_ms=1_000),
            took_ms=rng.choice([0.0, 1.0, 900.0, 1e9]),
            now_ms=200.0 * number,
        )
        if number % 50 == 0:
            speeds.review([f"m{number // 3 - k}" for k in range(24)])
    assert len(speeds._machines) <= worker_speeds.MAX_MACHINES
    for machine in speeds._machines.values():
        assert abs(machine.estimate.mean) < 50
        assert machine.estimate.variance > 0


def test_biased_estimates_do_not_shift_the_average():
    """The average worker keeps slowness 1 with biased estimates."""
    fleet = Fleet(HETEROGENEOUS, estimate_spread=0.9)
    for _ in range(60):
        fleet.run_each(1, bias=0.4)
    learned = [fleet.speeds.log_slowness(machine) for machine in fleet.slowness]
    assert abs(sum(learned) / len(learned)) < 0.05
    assert fleet.accurate_share() >= 0.8
