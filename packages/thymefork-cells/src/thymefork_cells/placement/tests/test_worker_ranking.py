"""Worker ranking compared with a full scan for each task."""

import random
from functools import partial

import pytest

from thymefork_cells.placement.worker_ranking import (
    OTHER_HALL_PENALTY,
    WorkerRanking,
    fit_score,
)
from thymefork_cells.specs import JobSpec, StepSpec, WorkerEntry
from thymefork_cells.state import Job, Run, RunState, Worker

HALLS = ("a", "b", "c")


NOW_MS = 10_000.0


def best_by_scan(spec, task, workers, runs_per_worker, hall):
    """Return the best worker by scoring all of them, as a reference."""
    others = [w for w in workers if w.worker_id not in task.avoided_workers]
    avoided = [w for w in workers if w.worker_id in task.avoided_workers]
    found = best_of(spec, task, others, runs_per_worker, hall)
    may_wait = any(w.fits_when_empty(spec) for w in others)
    if found is None and (NOW_MS >= task.may_return_ms or not may_wait):
        found = best_of(spec, task, avoided, runs_per_worker, hall)
    return found


def best_of(spec, task, workers, runs_per_worker, hall):
    """Return the worker with the best score, or None."""
    best, best_score = None, None
    for worker in workers:
        if not worker.has_capacity(spec) or worker.health.awaits_probe:
            continue
        if any(run.worker is worker for run in task.runs):
            continue
        if (
            runs_per_worker
            and runs_per_worker.get(worker.worker_id, 0) >= spec.most_per_worker
        ):
            continue
        score = fit_score(spec, worker)
        if worker.entry.hall != hall:
            score += OTHER_HALL_PENALTY
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def make_workers(rng):
    workers = []
    for number in range(rng.randint(1, 30)):
        entry = WorkerEntry(
            worker_id=f"w{number}",
            machine_id=f"m{number}",
            host="10.0.0.1",
            port=1,
            service="s",
            hall=rng.choice(HALLS),
            rack=rng.choice(("r1", "r2")),
            cpu_milli=rng.choice((8_000, 16_000, 32_000)),
            memory_mb=32_000,
            accelerators=rng.choice((0, 8)),
        )
        worker = Worker(entry=entry)
        worker.held_cpu_milli += rng.choice((0, 1_000, 4_000, 8_000))
        worker.health.on_probation = rng.random() < 0.1
        worker.health.failures_in_row = int(rng.random() < 0.1)
        workers.append(worker)
    return workers


def make_spec(rng):
    return StepSpec(
        count=rng.randint(1, 40),
        cpu_milli=rng.choice((500, 2_000, 4_000)),
        memory_mb=rng.choice((500, 4_000)),
        accelerators=rng.choice((0, 0, 0, 2)),
        preferred_rack=rng.choice(("", "r1")),
        most_per_worker=rng.choice((0, 0, 1, 3)),
        speculative=True,
        fills_idle_cpu=rng.random() < 0.1,
    )


def make_tasks(rng, spec, workers):
    job = Job.create(
        job_id="00000000000000aa",
        queue_name="q",
        spec=JobSpec(steps=(spec,)),
        now_ms=0.0,
        first_start_ms=0.0,
    )
    tasks = job.steps[0].tasks
    for task in tasks:
        if rng.random() < 0.2:
            after_ms = rng.choice((-1_500.0, -500.0))
            task.avoid(rng.choice(workers).worker_id, NOW_MS + after_ms)
        if rng.random() < 0.2:
            assign(task, rng.choice(workers))
    return tasks


def assign(task, worker):
    task.run_count += 1
    run = Run(task=task, run_id=task.run_count, worker=worker, state=RunState.INTENDED)
    task.runs.append(run)
    worker.add(run)
    worker.health.started(run)


@pytest.mark.parametrize("seed", range(300))
def test_ranking_agrees_with_full_scan(seed):
    rng = random.Random(seed)
    workers, spec, hall = make_workers(rng), make_spec(rng), rng.choice(HALLS)
    tasks = make_tasks(rng, spec, workers)
    runs_per_worker = tasks[0].step.runs_per_worker() if spec.most_per_worker else None
    ranking = WorkerRanking(
        rate=partial(fit_score, spec),
        spec=spec,
        workers=workers,
        hall=hall,
        now_ms=NOW_MS,
        alternatives=workers,
        runs_per_worker=dict(runs_per_worker) if runs_per_worker is not None else None,
    )
    for task in tasks:
        expected = best_by_scan(spec, task, workers, runs_per_worker, hall)
        assert ranking.best_for(task) is expected
        if expected is None:
            continue
        assign(task, expected)
        ranking.on_assigned()
        if runs_per_worker is not None:
            runs_per_worker[expected.worker_id] = (
                runs_per_worker.get(expected.worker_id, 0) + 1
            )
