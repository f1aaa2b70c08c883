"""Default workers, queues and jobs of a harness."""

import itertools

from thymefork_cells.hashing import cell_of
from thymefork_cells.specs import (
    AdvicePolicy,
    Configuration,
    JobSpec,
    QueuePolicy,
    StepSpec,
    WorkerEntry,
)

from .virtual_worker import START_EPOCH_MS

__all__ = ["QUEUE", "configuration", "job_spec", "worker_entries", "worker_ids"]

QUEUE = "q"


def worker_ids(count, *, cell, cell_count):
    """Return the first worker ids whose machines belong to a cell."""
    ids = (f"w{number}" for number in itertools.count())
    of_cell = (name for name in ids if cell_of(f"m-{name}", cell_count) == cell)
    return list(itertools.islice(of_cell, count))


def worker_entries(worker_ids, *, cpu_milli, accelerators, hall):
    """Return worker entries in two racks; `hall(number)` returns the hall."""
    return [
        WorkerEntry(
            worker_id=worker_id,
            machine_id=f"m-{worker_id}",
            host="10.0.0.1",
            port=1,
            service="s",
            hall=hall(number) if hall else f"hall-{number % 2}",
            rack=f"r-{number % 2}",
            labels=frozenset({"a", f"r-{number % 2}"}),
            cpu_milli=cpu_milli,
            memory_mb=32_000,
            accelerators=accelerators,
            born_epoch_ms=int(START_EPOCH_MS),
        )
        for number, worker_id in enumerate(worker_ids)
    ]


def configuration(*, advice, max_attempts):
    """Return a configuration with an urgent queue and a batch queue."""
    urgent = QueuePolicy(
        name=QUEUE,
        host="h",
        path_prefix="/q/",
        service="s",
        max_attempts=max_attempts,
        advice=AdvicePolicy(**advice) if advice else None,
    )
    batch = QueuePolicy(
        name="batch",
        host="h",
        path_prefix="/b/",
        service="s",
        priority=2,
        max_attempts=max_attempts,
    )
    return Configuration(version=1, queues=(urgent, batch))


def job_spec(*steps, payload="p", **fields):
    """Return a job specification with steps given as dictionaries."""
    return JobSpec(
        payload=payload, steps=tuple(StepSpec(**step) for step in steps), **fields
    )
