"""A cell with fast and slow workers, small urgent jobs and batch jobs."""

import random
from itertools import count

from attrs import evolve, frozen

from .harness import Harness, job_spec

__all__ = ["BATCH", "FAST", "SLOW", "SMALL", "HeterogeneousHarness", "JobShape"]

SLOW = 1.0 / 0.7
FAST = 1.0 / 1.7
WORKERS = 24
CORES = 16_000
# Relative spread of durations between the tasks of a job, and between jobs.
TASK_SPREAD = 0.3
JOB_SPREAD = 0.1
STRAGGLER_FRACTION = 0.03
STRAGGLER_FACTOR = 7.0
ESTIMATE_SPREAD = 0.2


@frozen(kw_only=True)
class JobShape:
    """Describe a kind of job.

    Units: milliseconds, thousandths of a core.
    """

    queue: str
    work_ms: float
    width: int
    cpu_milli: int
    images: int = 6
    estimate_spread: float = ESTIMATE_SPREAD


SMALL = JobShape(queue="q", work_ms=850.0, width=3, cpu_milli=2_400)
BATCH = JobShape(
    queue="batch", work_ms=3_400.0, width=8, cpu_milli=4_500, estimate_spread=0.5
)


class _TaskDurations(dict):
    """Map tasks to the duration of their next run, with occasional stragglers."""

    def __init__(self, random_value):
        super().__init__()
        self._random = random_value

    def get(self, task, usual_ms):
        is_straggler = self._random() < STRAGGLER_FRACTION
        return super().get(task, usual_ms) * (STRAGGLER_FACTOR if is_straggler else 1.0)


class HeterogeneousHarness(Harness):
    """Simulate a cell with workers of different speeds."""

    def __init__(self, *, seed, slownesses=(SLOW, SLOW, FAST), workers=WORKERS):
        super().__init__(workers=workers, cpu_milli=CORES)
        self.random = random.Random(seed)
        self.work_ms_of = _TaskDurations(self.random.random)
        self.objectives_ms = {}
        self.numbers = count()
        for number, worker in enumerate(self.workers.values()):
            worker.work_ms_of = self.work_ms_of
            worker.slow_factor = slownesses[number % len(slownesses)]
        urgent, batch = self.configuration.queues
        queues = (
            evolve(urgent, stretch=1.5, target_latency_ms=250.0),
            evolve(batch, stretch=2.2, target_latency_ms=1_000.0),
        )
        self.configuration = evolve(self.configuration, queues=queues)
        self.take_over()
        self.run(300)

    def send(self, shape):
        """Submit a job whose duration depends on its image; its estimate is inexact."""
        job_id = f"{next(self.numbers):016x}"
        image = f"{shape.queue}-{self.random.randrange(shape.images)}"
        work_ms = shape.work_ms * random.Random(image).uniform(0.7, 1.4)
        work_ms *= self.random.lognormvariate(0.0, JOB_SPREAD)
        for index in range(shape.width):
            factor = self.random.uniform(1.0 - TASK_SPREAD, 1.0 + TASK_SPREAD)
            self.work_ms_of[f"{job_id}.0.0.{index}"] = work_ms * factor
        error = self.random.lognormvariate(0.0, shape.estimate_spread)
        step = {
            "count": shape.width,
            "cpu_milli": shape.cpu_milli,
            "memory_mb": 100,
            "estimated_ms": int(work_ms * error),
            "image": image,
        }
        queue = self.configuration.queue(shape.queue)
        self.objectives_ms[job_id] = (
            self.now + queue.stretch * work_ms + queue.target_latency_ms
        )
        self.submit(job_id, job_spec(step), shape.queue)
        return job_id

    def load(self, for_ms, **gaps_ms):
        """Submit small jobs, batch jobs or both at the given intervals."""
        shapes = {"small": SMALL, "batch": BATCH}
        due_ms = dict.fromkeys(gaps_ms, self.now)
        until_ms = self.now + for_ms
        sent = []
        while (kind := min(due_ms, key=due_ms.get)) and due_ms[kind] < until_ms:
            if due_ms[kind] > self.now:
                self.run(due_ms[kind] - self.now)
            sent.append(self.send(shapes[kind]))
            due_ms[kind] += gaps_ms[kind] * self.random.uniform(0.5, 1.5)
        self.run(until_ms - self.now)
        return sent

    def is_fast(self, worker_id):
        """Return whether a worker is one of the fast ones."""
        return self.workers[worker_id].slow_factor < 1.0

    def starts(self, job_ids):
        """Return the workers on which the tasks of jobs were started."""
        return [
            worker.worker_id
            for worker in self.workers.values()
            for task, _, _ in worker.starts
            if task.split(".")[0] in job_ids
        ]

    def fraction_on_time(self, job_ids):
        """Return the fraction of jobs that met their latency objective."""
        jobs = {job_id: self.cell.context.jobs[job_id] for job_id in job_ids}
        in_time = [
            str(job.state) == "succeeded" and job.ended_ms <= self.objectives_ms[job_id]
            for job_id, job in jobs.items()
        ]
        return sum(in_time) / len(in_time)
