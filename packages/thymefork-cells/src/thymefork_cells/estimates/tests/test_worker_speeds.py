"""How soon, and how well, workers' speeds are learned from ends of runs alone."""

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
# How far a learned speed may be off: what matters to a placing differs by 2.4 times.
NEAR = 1.25


class Fleet:
    """Run tasks of some images on machines of given slowness."""

    def __init__(self, slownesses, *, seed=1, tail_share=0.0, estimate_spread=0.3):
        self.random = random.Random(seed)
        self.slowness = {f"m{n}": value for n, value in enumerate(slownesses)}
        self.speeds = WorkerSpeeds()
        self.tail_share = tail_share
        self.estimate_spread = estimate_spread
        self.work_ms = {f"i{n}": self.random.uniform(300, 4_000) for n in range(12)}
        self.now_ms = 0.0
        self.set_aside = 0
        self.steps = 0
        self.born_epoch_ms = 1

    def run_each(self, rounds, *, bias=1.0):
        """Let each machine end so many runs, one every half second, in steps of three.

        Callers' estimates are too high by `bias`.
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
            self.set_aside += self.speeds.learn(
                worker=SimpleNamespace(
                    machine=machine, born_epoch_ms=self.born_epoch_ms
                ),
                step_name=f"s{self.steps}",
                step=step,
                took_ms=took_ms,
                now_ms=self.now_ms,
            )

    def off_by(self, machine):
        """Return the factor by which a machine's learned slowness is off."""
        learned = exp(self.speeds.log_slowness(machine))
        return max(learned / self.slowness[machine], self.slowness[machine] / learned)

    def share_known(self):
        """Return the share of machines whose speed is known near enough."""
        near = [self.off_by(machine) < NEAR for machine in self.slowness]
        return sum(near) / len(near)


UNEVEN = [SLOW, SLOW, FAST] * 8


@pytest.mark.parametrize("seed", range(1, 6))
def test_speeds_are_known_after_few_runs(seed):
    fleet = Fleet(UNEVEN, seed=seed)
    fleet.run_each(6)
    assert fleet.speeds.is_heterogeneous
    assert fleet.share_known() >= 0.8


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("estimate_spread", [0.2, 0.9])
def test_tails_and_poor_estimates_do_not_spoil_it(seed, estimate_spread):
    fleet = Fleet(UNEVEN, seed=seed, tail_share=0.03, estimate_spread=estimate_spread)
    fleet.run_each(30)
    slow = [
        exp(fleet.speeds.log_slowness(m)) for m, s in fleet.slowness.items() if s > 1
    ]
    fast = [
        exp(fleet.speeds.log_slowness(m)) for m, s in fleet.slowness.items() if s < 1
    ]
    assert min(slow) > 1.5 * max(fast)
    assert fleet.set_aside > 0


@pytest.mark.parametrize("seed", range(1, 41))
def test_alike_workers_stay_exactly_alike(seed):
    """Where workers do not differ, no decision may change by what was learned."""
    fleet = Fleet([1.0] * 24, seed=seed, tail_share=0.03, estimate_spread=0.9)
    for _ in range(40):
        fleet.run_each(1)
        assert not fleet.speeds.is_heterogeneous
        assert {fleet.speeds.slowness(m) for m in fleet.slowness} == {1.0}


def test_estimates_that_are_all_too_high_make_nobody_fast():
    fleet = Fleet([1.0] * 24)
    fleet.run_each(40, bias=2.0)
    assert not fleet.speeds.is_heterogeneous


def test_a_machine_that_is_slow_for_a_while_is_not_remembered_as_slow():
    fleet = Fleet(UNEVEN)
    fleet.run_each(10)
    before = {machine: fleet.speeds.log_slowness(machine) for machine in fleet.slowness}
    fleet.slowness["m0"] = 5.0 * SLOW
    fleet.run_each(12)
    assert abs(fleet.speeds.log_slowness("m0") - before["m0"]) < 0.2


def test_a_machine_that_was_slow_when_it_was_first_seen_is_soon_known_better():
    fleet = Fleet(UNEVEN)
    fleet.slowness["m0"] = 5.0 * SLOW
    fleet.run_each(10)
    fleet.slowness["m0"] = SLOW
    fleet.run_each(12)
    assert fleet.off_by("m0") < NEAR


def test_a_machine_that_has_changed_is_learned_anew():
    fleet = Fleet(UNEVEN)
    fleet.run_each(10)
    fleet.slowness["m2"] = 4.0 * FAST
    fleet.run_each(int(CHANGED_AFTER_MS / 500) + 30)
    assert fleet.off_by("m2") < NEAR


def test_a_small_drift_is_followed():
    fleet = Fleet(UNEVEN)
    fleet.run_each(10)
    fleet.slowness["m0"] *= 1.4
    fleet.run_each(60)
    assert fleet.off_by("m0") < NEAR


def test_a_restart_keeps_the_speed_with_more_doubt():
    fleet = Fleet(UNEVEN)
    fleet.run_each(10)
    known = fleet.speeds.log_slowness("m2")
    fleet.born_epoch_ms = 2
    fleet.run_each(1)
    assert abs(fleet.speeds.log_slowness("m2") - known) < 0.25
    assert fleet.speeds.is_heterogeneous


def test_what_an_earlier_owner_told_counts_at_once_and_is_corrected():
    speeds = WorkerSpeeds()
    told = [
        LearnedSpeed(machine=f"m{n}", log_slowness=0.36 if n % 3 else -0.53)
        for n in range(24)
    ]
    speeds.inherit(told, 0.0)
    assert speeds.review([f"m{n}" for n in range(24)])
    assert speeds.slowness("m0") < 0.7 < 1.3 < speeds.slowness("m1")
    fleet = Fleet([1.0] * 24)
    fleet.speeds = speeds
    fleet.run_each(30)
    assert not speeds.is_heterogeneous


def test_machines_and_images_that_are_kept_are_bounded(monkeypatch):
    monkeypatch.setattr(worker_speeds, "MAX_MACHINES", 10)
    monkeypatch.setattr(worker_speeds, "MAX_IMAGES", 5)
    fleet = Fleet([1.0] * 30)
    fleet.run_each(3)
    assert len(fleet.speeds._machines) == 10
    assert len(fleet.speeds._images) == 5


def test_news_is_what_changed_notably():
    fleet = Fleet(UNEVEN)
    fleet.run_each(10)
    machines = list(fleet.slowness)
    news = SpeedAnnouncements(speeds=fleet.speeds)
    first = news.next_batch(machines, 10, fleet.now_ms)
    second = news.next_batch(machines, 100, fleet.now_ms)
    assert len(first) == 10
    assert not {row.machine for row in first} & {row.machine for row in second}
    fleet.run_each(1)
    assert len(news.next_batch(machines, 100, fleet.now_ms)) <= 5


def test_machines_are_told_apart_by_how_far_they_are_off():
    speeds = WorkerSpeeds()
    told = {"m0": 0.0, "m1": log(1.5), "m2": -log(1.5), "m3": log(15.0)}
    rows = [LearnedSpeed(machine=m, log_slowness=value) for m, value in told.items()]
    speeds.inherit(rows, 0.0)
    kinds = {machine: kind for machine, kind, _ in speeds.newly_notable(told)}
    assert kinds == {"m1": "slow", "m2": "fast", "m3": "far_slower"}
    assert not speeds.newly_notable(told)


def test_machines_that_come_and_go_for_hours_are_bounded_and_finite():
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


def test_estimates_that_are_all_off_do_not_move_what_is_ordinary():
    """The average worker stays at 1 however low callers' estimates are."""
    fleet = Fleet(UNEVEN, estimate_spread=0.9)
    for _ in range(60):
        fleet.run_each(1, bias=0.4)
    learned = [fleet.speeds.log_slowness(machine) for machine in fleet.slowness]
    assert abs(sum(learned) / len(learned)) < 0.05
    assert fleet.share_known() >= 0.8
