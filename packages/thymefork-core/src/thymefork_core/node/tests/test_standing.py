"""Services that the operators' file declares."""

from attrs import evolve

from thymefork_core.config import ConfigVersion
from thymefork_core.model import Resources, StandingWork

INDEXER = StandingWork(
    name="indexer", hall="h", team="t", resources=Resources(cpu_milli=1000)
)


def put_in_force(world, version, *standing):
    file = evolve(world.file, standing=standing)
    for node in world.nodes.values():
        node.ctx.config.offer_newer(
            ConfigVersion(
                version=version, base=0, author="a", record_id=str(version), file=file
            )
        )


def running(world):
    return [a for w in world.workers.values() for a in w.running if "indexer" in a]


def test_a_declared_service_runs_once_is_replaced_and_ends_with_its_declaration(world):
    put_in_force(world, 2, INDEXER)
    world.run(4000)
    assert len(running(world)) == 1
    for worker in world.workers.values():
        worker.running.clear()
        worker.ends_at_ms.clear()
    world.run(15_000)
    assert len(running(world)) == 1
    world.kill("h-1")
    world.run(15_000)
    assert len(running(world)) == 1
    put_in_force(world, 3)
    world.run(5000)
    assert running(world) == []
    put_in_force(world, 4, INDEXER)
    world.run(5000)
    assert len(running(world)) == 1
    assert world.doubles == []
