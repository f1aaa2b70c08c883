"""A worker that starts again under its id has forgotten everything, and is a new life.

What was seen: in waves of crashes, with workers that came back within seconds under the
ids that they had, tasks that had ended as done were started again, though their ends
had been taken note of; and a lasting task ran nowhere for over half a minute, though
there was room, until another instance took the cell over.

How it came about: a worker's life was told by its id alone. A new life counts its ends
from 1, so their numbers were below the highest one heard: the ends were skipped, and
acknowledged by the next look. Its clock begins anew, so its listings counted as
overtaken by older ones until it had run for as long as the life before: what had run
there was never missed.

Two ways more led to the same: an order of before, forbidden on the old life, is carried
out late by the new one, which knows no fence and no stop; and a look of before
acknowledges ends of the new life that nobody has heard.

What proved it: `worker_life_changed` with `heard_end=6` and a first end of number 1,
whose task then started again; `listings_set_aside` by a clock of 1.2 s after one of
34.7 s, with the lasting run still counted. Without restarts the same cases hold, and
with a life told by id and start, a fence that rises with it, and no acknowledgement on
a connection that the life has not answered on, so do these.
"""

import itertools
import random
from collections import Counter

import pytest

from thymefork_cells.effects import PollWorker, StartRun, StopRun
from thymefork_cells.state import JobState
from thymefork_cells.workers.worker_losses import MAX_CRASHES

from .harness import job_spec
from .run_invariants import longest_gap_ms, tasks_run_twice

JOB = "00000000000000aa"
LASTING_JOB = "00000000000000bb"
LASTING_TASK = f"{LASTING_JOB}.0.0.0"
LASTING = {"count": 1, "cpu_milli": 1_000, "long_running": True}
# A lasting task whose run has ended is to run again within this time.
ABSENCE_BOUND_MS = 6_000.0
# A job whose task could run does not stand still for this long.
STANDSTILL_BOUND_MS = 3_000.0


def run_to_the_end(harness, job_id, step):
    harness.submit(job_id, job_spec(step))
    harness.run(2_000)
    assert harness.job(job_id).visible_state is JobState.SUCCEEDED


# One restart -------------------------------------------------------------------


def test_an_end_of_the_new_life_counts_whatever_number_it_has(make_harness):
    harness = make_harness(workers=1)
    run_to_the_end(harness, JOB, {"count": 6, "cpu_milli": 1_000})
    (worker,) = harness.workers.values()
    harness.restart(worker, away_ms=400.0)
    harness.run(1_000)
    for number in range(3):
        run_to_the_end(harness, f"{number:016x}", {"count": 1, "cpu_milli": 1_000})
    assert not tasks_run_twice(harness)
    assert {len(harness.starts_of(f"{n:016x}.0.0.0")) for n in range(3)} == {1}


@pytest.mark.parametrize("away_ms", [20.0, 400.0, 3_500.0])
@pytest.mark.parametrize("entry_delay_ms", [0.0, 600.0])
def test_a_lasting_task_is_back_soon_after_its_worker(
    make_harness, away_ms, entry_delay_ms
):
    harness = make_harness(workers=1)
    (worker,) = harness.workers.values()
    worker.work_ms = 1e9
    harness.submit(LASTING_JOB, job_spec(LASTING))
    harness.run(30_000)
    began_ms = harness.now
    harness.restart(worker, away_ms=away_ms, entry_delay_ms=entry_delay_ms)
    harness.run(20_000)
    assert longest_gap_ms(harness, LASTING_TASK, began_ms) < ABSENCE_BOUND_MS
    assert not tasks_run_twice(harness)


def test_tasks_of_before_start_again_at_once(make_harness):
    """They are gone for certain; no lease has to be waited for."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 2_000.0
    harness.submit(JOB, job_spec({"count": 8, "cpu_milli": 1_000}))
    harness.run(500)
    worker = max(harness.workers.values(), key=lambda one: len(one.running))
    tasks = [task for task, _ in worker.running]
    began_ms = harness.now
    harness.restart(worker, away_ms=50.0)
    harness.run(1_000)
    absences_ms = [longest_gap_ms(harness, task, began_ms) for task in tasks]
    assert max(absences_ms) < 1_000.0
    harness.run(5_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert not tasks_run_twice(harness)


# Orders of before --------------------------------------------------------------


@pytest.mark.parametrize("restart_after_ms", [200.0, 900.0])
def test_a_start_of_before_does_not_begin_on_the_new_life(
    make_harness, restart_after_ms
):
    """It got no answer and was forbidden by a stop, which the new life knows not of."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    late = []

    def command_delay_ms(effect):
        if isinstance(effect, StartRun) and not late:
            late.append(effect.run.worker.worker_id)
            return 3_000.0
        return 0.0

    harness.command_delay_ms = command_delay_ms
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(restart_after_ms)
    harness.restart(harness.workers[late[0]], away_ms=100.0)
    harness.run(20_000)
    assert not tasks_run_twice(harness)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


@pytest.mark.parametrize("entry_delay_ms", [0.0, 500.0])
@pytest.mark.parametrize("away_ms", [600.0, 2_800.0])
def test_a_task_that_crashes_workers_is_given_up_though_they_keep_their_ids(
    make_harness, away_ms, entry_delay_ms
):
    """From a soak: a worker that was away for long answers before it is listed again.

    It was taken for one that leaves, and its crash held against nobody.
    """
    harness = make_harness(workers=2)
    harness.keeps_worker_ids = True
    harness.return_delay_ms = away_ms
    harness.entry_delay_ms = entry_delay_ms
    task = f"{JOB}.0.0.0"
    harness.crashes_after_ms = lambda name: 10.0 if name == task else None
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(60_000)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_after_nth_crash(task, 3)) < 3


# Drawn at random ---------------------------------------------------------------

KINDS = ("restarts", "new owners", "late orders", "cuts", "outages", "all")


# 356: a lease that was sent by the clock of the life before comes late, and is taken by
# the new life, for 10 s, before anybody has looked at that. The owner counts on it; its
# successor, which can't reach the worker, knows of 3 s.
CASES = [*itertools.product(KINDS, range(12)), ("all", 356)]


@pytest.mark.parametrize(("kind", "seed"), CASES)
def test_restarts_among_other_faults(make_harness, kind, seed):
    """Two to ten restarts under the same id, alone and beside what else goes wrong."""
    rng = random.Random(f"{kind} {seed}")
    harness = make_harness(workers=12)
    jobs = [f"{number:016x}" for number in range(1, 41)]
    lasting = [f"{number:016x}" for number in range(100, 104)]
    for job_id in lasting:
        harness.submit(job_id, job_spec(LASTING))
    if kind in ("late orders", "all"):
        _let_orders_come_late(harness, rng)
    restarts_left = rng.randint(2, 10)
    for job_id in jobs:
        harness.submit(job_id, _two_steps(rng, kind))
        harness.run(rng.uniform(50, 500))
        if restarts_left and rng.random() < 0.35:
            restarts_left -= 1
            _restart_one(harness, rng)
        _disturb(harness, rng, kind)
    harness.command_delay_ms = lambda effect: 0.0
    _heal(harness)
    calm_ms = harness.now + 12_000
    harness.run(30_000)
    assert not tasks_run_twice(harness), (kind, seed)
    states = {job_id: harness.job(job_id).visible_state for job_id in jobs}
    given_up = _given_up(harness)
    wrong = [job_id for job_id in jobs if states[job_id] is not JobState.SUCCEEDED]
    assert set(wrong) <= given_up, (kind, seed, wrong)
    for job_id in set(lasting) - given_up:
        absence_ms = longest_gap_ms(harness, f"{job_id}.0.0.0", calm_ms)
        assert absence_ms < ABSENCE_BOUND_MS, (kind, seed, job_id)


def _two_steps(rng, kind):
    first = {"count": rng.randint(1, 6), "cpu_milli": 1_000}
    if kind == "outages":
        first["gang"] = rng.random() < 0.3
    return job_spec(first, {"count": 2, "cpu_milli": 1_000, "after": (0,)})


def _given_up(harness):
    """Return the jobs of tasks that may well have crashed three workers.

    A start that got no answer, as its worker was down already or the order came late,
    is not told from one that brought its worker down, nor is a run whose end was lost
    with its worker before anybody heard it.
    """
    judged = {
        note.fields["task"]
        for note in harness.notes
        if note.event == "task_crashes_workers"
    }
    runs = [run for worker in harness.workers.values() for run in worker.history]
    crashes = Counter(run.task for run in runs if not run.is_acknowledged)
    crashes.update(harness.transport.starts_unanswered)
    assert all(crashes[task] >= MAX_CRASHES for task in judged), judged
    return {task.split(".")[0] for task in judged}


def _up(harness):
    return [worker for worker in harness.workers.values() if not worker.is_unreachable]


def _restart_one(harness, rng):
    harness.restart(
        rng.choice(_up(harness)),
        away_ms=rng.choice((20.0, 100.0, 500.0, 2_000.0, 3_500.0)),
        entry_delay_ms=rng.choice((0.0, 100.0, 800.0)),
    )


def _let_orders_come_late(harness, rng):
    kinds = (StartRun, StopRun, PollWorker)

    def command_delay_ms(effect):
        if isinstance(effect, kinds) and rng.random() < 0.05:
            return rng.uniform(300.0, 6_000.0)
        return 0.0

    harness.command_delay_ms = command_delay_ms


def _disturb(harness, rng, kind):
    if kind in ("new owners", "all") and rng.random() < 0.1:
        harness.is_owner_down = True
        harness.run(300)
        harness.take_over()
    if kind in ("cuts", "all") and rng.random() < 0.15 and len(_up(harness)) > 8:
        harness.disconnect_worker(
            rng.choice(_up(harness)), for_ms=rng.uniform(200.0, 5_000.0)
        )
    if kind == "outages" and rng.random() < 0.15:
        harness.run_store_outage(rng.uniform(300.0, 4_000.0))
        harness.load_worker_list(harness.entries)


def _heal(harness):
    harness.run(6_000)
    assert all(not worker.is_unreachable for worker in harness.workers.values())
