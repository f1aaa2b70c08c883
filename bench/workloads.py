"""Seeded workloads for the two example users, on virtual time."""

import random

from attrs import evolve, frozen

from thymefork_core.model import (
    OperatorsFile,
    Policy,
    Resources,
    Service,
    Team,
    WorkerDecl,
    WorkKind,
    WorkSpec,
)
from thymefork_standin.virtual.virtual_worker import PAYLOAD_TAKES_MS

__all__ = ["WORKLOADS", "Item", "make_file", "make_items"]

SPAN_MS = 60_000
WEIGHTS = {"libraries": (0.6, 1.0, 1.0), "wattle": (1.0, 0.3, 0.3)}
SIZES = {"libraries": (16_000, 32_768), "wattle": (32_000, 65_536)}
QUOTA = Resources(cpu_milli=10**8, memory_mb=10**8)


@frozen(kw_only=True)
class Item:
    """Hold one work item and its submission time.

    Units: `at_ms` in milliseconds since the start of the workload.
    """

    at_ms: int
    spec: WorkSpec


def make_file(user, workers=8):
    """Return the operators' file of one hall with the user's weights."""
    cpu_milli, memory_mb = SIZES[user]
    waiting, packing, control = WEIGHTS[user]
    return OperatorsFile(
        region="r",
        halls=("h",),
        workers=tuple(
            WorkerDecl(
                name=f"w{i}",
                hall="h",
                rack="rack",
                resources=Resources(cpu_milli=cpu_milli, memory_mb=memory_mb),
            )
            for i in range(workers)
        ),
        services=(Service(name="s", slots=8, connections=64),),
        teams=(Team(name="a", quota=QUOTA), Team(name="b", quota=QUOTA)),
        policies=tuple(
            Policy(
                kind=kind,
                waiting_weight=waiting,
                packing_weight=packing,
                control_weight=control,
            )
            for kind in WorkKind
        ),
    )


def _task(rng, user, index, at_ms, **fields):
    cpu_milli, memory_mb = SIZES[user]
    need = Resources(
        cpu_milli=rng.choice((1, 2, 4, 6)) * cpu_milli // 16,
        memory_mb=rng.choice((1, 2, 4, 6)) * memory_mb // 16,
    )
    values = {
        "work_id": f"work{index}",
        "kind": WorkKind.TASK,
        "team": "a",
        "resources": need,
        "submitted_at_ms": 0,
        "deadline_ms": 10**12,
        "run_ms": rng.randint(2000, 9000),
        **fields,
    }
    return Item(at_ms=at_ms, spec=WorkSpec(**values))


def _diurnal(rng, user):
    """Yield a load that rises and falls, about 60% of the capacity."""
    for index in range(260):
        at_ms = int(rng.triangular(0, SPAN_MS, SPAN_MS // 2))
        yield _task(rng, user, index, at_ms)


def _burst(rng, user):
    """Yield a burst beyond the capacity, with jobs among the tasks."""
    for index in range(220):
        at_ms = rng.randint(0, SPAN_MS // 3)
        if index % 20 == 0:
            fields = {"kind": WorkKind.JOB, "tasks": 8, "team": "b"}
            yield _task(rng, user, index, at_ms, **fields)
        else:
            yield _task(rng, user, index, at_ms)


def _wrong_sizes(rng, user):
    """Yield work items whose declared run times are wrong by a factor of up to ten."""
    for item in _burst(rng, user):
        declared_ms = max(100, int(item.spec.run_ms * rng.choice((0.1, 0.5, 2, 10))))
        payload = f"{PAYLOAD_TAKES_MS}{item.spec.run_ms}"
        spec = evolve(item.spec, run_ms=declared_ms, payload=payload)
        yield evolve(item, spec=spec)


WORKLOADS = {
    "diurnal": _diurnal,
    "merge night": _burst,
    "wrong sizes": _wrong_sizes,
}


def make_items(workload, user, seed):
    """Return the work items of a workload by submission time."""
    rng = random.Random(f"{workload}|{user}|{seed}")
    return sorted(WORKLOADS[workload](rng, user), key=lambda item: item.at_ms)
