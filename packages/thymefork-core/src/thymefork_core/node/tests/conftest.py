"""A small file and works for the node's tests."""

import pytest

from thymefork_core.model import (
    OperatorsFile,
    Resources,
    Service,
    Team,
    WorkerDecl,
    WorkKind,
    WorkSpec,
)
from thymefork_standin.virtual import World

CPU_MILLI = 4000


def make_file(workers=3, hall="h"):
    return OperatorsFile(
        region="r",
        halls=(hall,),
        workers=tuple(
            WorkerDecl(
                name=f"w{index}",
                hall=hall,
                rack="rack",
                resources=Resources(cpu_milli=CPU_MILLI, memory_mb=8000),
            )
            for index in range(workers)
        ),
        services=(Service(name="s", slots=8, connections=64),),
        teams=(
            Team(name="t", quota=Resources(cpu_milli=10**6, memory_mb=10**6)),
            Team(name="small", quota=Resources(cpu_milli=2000, memory_mb=10**6)),
        ),
        policies=(),
    )


def make_spec(world, work_id, **fields):
    values = {
        "kind": WorkKind.TASK,
        "team": "t",
        "resources": Resources(cpu_milli=1000, memory_mb=500),
        "submitted_at_ms": world.now_ms,
        "deadline_ms": world.now_ms + 30_000,
        "run_ms": 300,
        **fields,
    }
    return WorkSpec(work_id=work_id, **values)


@pytest.fixture
def world():
    """Two instances and three workers, ready."""
    running = World(file=make_file(), names=["h-1", "h-2"])
    running.run(5000)
    return running
