"""Entries of other services' writers among those of the workers."""

import pytest
from attrs import evolve

from thymefork_cells.effects import PollWorker
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
AGENT = "agent-1"
# Longest time that a job may run nothing beside room.
STANDSTILL_MS = 3_000


def agent_entry(harness, worker_id):
    """Return the entry of another service's agent on a worker's machine."""
    (entry,) = [one for one in harness.entries if one.worker_id == worker_id]
    return evolve(entry, worker_id=AGENT, service="agents", port=2, cpu_milli=0)


def start_job(harness, *, count=2):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    step = {"count": count, "cpu_milli": 500, "long_running": True}
    harness.submit(JOB, job_spec(step))
    harness.run(400)
    assert len(harness.running()) == count
    return harness.job(JOB).runs[0].worker.worker_id


def remove_all_queues(harness):
    """Remove the queues that name the workers' service; return the configuration."""
    before = harness.configuration
    harness.configuration = evolve(before, version=before.version + 1, queues=())
    harness.cell.on_configuration(harness.configuration)
    return before


def test_agent_on_the_machine_of_an_unlisted_worker_does_not_end_its_runs(make_harness):
    """Guards against a second start beside a run, as if its machine had restarted."""
    harness = make_harness(workers=3)
    worker_id = start_job(harness)
    agent = agent_entry(harness, worker_id)
    others = [one for one in harness.entries if one.worker_id != worker_id]
    before = harness.running()
    harness.load_worker_list([*others, agent])
    harness.run(1_000)
    assert harness.running() == before


def test_agent_is_not_asked_and_counts_for_no_quorum(make_harness):
    """Guards against polls of other services, and owners that wait for them."""
    harness = make_harness(workers=2)
    start_job(harness)
    agent = agent_entry(harness, "w0")
    polled = set()
    harness.is_command_lost = lambda effect: (
        polled.add(effect.worker.worker_id) if isinstance(effect, PollWorker) else None
    )
    harness.load_worker_list([*harness.entries, agent])
    harness.run(1_000)
    assert AGENT not in harness.cell.context.workers and AGENT not in polled
    assert harness.counts["worker_service"] == 1


@pytest.mark.parametrize("with_new_owner", [False, True])
def test_runs_go_on_while_their_service_is_not_configured(make_harness, with_new_owner):
    """Guards against workers dropped since a configuration lacks their service."""
    harness = make_harness(workers=2)
    start_job(harness)
    before = harness.running()
    remove_all_queues(harness)
    harness.load_worker_list(list(harness.entries))
    if with_new_owner:
        harness.take_over()
    harness.run(12_000)
    assert harness.running() == before
    assert harness.job(JOB).state is JobState.RUNNING


def test_worker_that_restarts_while_its_service_is_not_configured_is_used(make_harness):
    """Guards against jobs that stand still since their service has left for a while."""
    harness = make_harness(workers=1)
    start_job(harness)
    remove_all_queues(harness)
    harness.crash(harness.workers["w0"])
    harness.run(1_000 + STANDSTILL_MS)
    assert len(harness.running()) == 2


def test_worker_is_used_once_its_service_is_configured(make_harness):
    """Guards against entries that are ignored for good because they came too early."""
    harness = make_harness(workers=2)
    early = evolve(
        agent_entry(harness, "w0"), worker_id="w0", service="late", cpu_milli=8_000
    )
    kept = [one for one in harness.entries if one.worker_id != "w0"]
    harness.cell.context.workers.pop("w0")
    harness.load_worker_list([early, *kept])
    assert "w0" not in harness.cell.context.workers
    configuration = harness.configuration
    queue = evolve(configuration.queues[0], name="late", service="late")
    harness.configuration = evolve(
        configuration,
        version=configuration.version + 1,
        queues=(*configuration.queues, queue),
    )
    harness.cell.on_configuration(harness.configuration)
    harness.load_worker_list([early, *kept])
    assert harness.cell.context.workers["w0"].entry.service == "late"
