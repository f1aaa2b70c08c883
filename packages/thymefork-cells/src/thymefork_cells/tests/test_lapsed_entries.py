"""Takeovers after outages in which the workers' list entries have lapsed."""

import pytest

from thymefork_cells.workers.lease_duration import LEASE_MS, max_lease_duration_ms
from thymefork_cells.workers.worker_locations import LOCATION_KEY

from .harness import job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
# Entries of live workers are back within this time after an outage.
ENTRIES_RETURN_MS = 2_000.0


@pytest.fixture
def harness(make_harness):
    """Return a harness with a run on each worker, whose entries then lapse."""
    harness = make_harness(workers=6)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 6, "cpu_milli": 8_000}))
    harness.run(500)
    harness.is_owner_down = True
    harness.listed = harness.entries
    harness.entries = []
    return harness


# A next owner knew no addresses, so it had a quorum only once the entries were back.
def test_workers_are_asked_before_their_entries_are_back(harness):
    harness.take_over()
    harness.run(300)
    assert harness.cell.inherited_leases.has_quorum
    assert len(harness.running()) == 6
    harness.run(ENTRIES_RETURN_MS - 300)
    harness.publish_worker_list(harness.listed)
    harness.run(10_000)
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1
    assert len(harness.running()) == 6


def test_silent_worker_is_waited_for_from_the_early_quorum_on(harness):
    silent = next(iter(harness.workers.values()))
    silent.end_incarnation(harness.now)
    harness.take_over()
    taken_over_ms = harness.now
    harness.run(300)
    until_ms = harness.cell.context.workers[silent.worker_id].inherited_until_ms
    longest_ms = 200.0 + 800.0 + max_lease_duration_ms(LEASE_MS)
    assert until_ms - taken_over_ms <= longest_ms


def test_nothing_starts_on_a_worker_whose_entry_is_missing(harness):
    harness.take_over()
    harness.submit("00000000000000bb", job_spec({"count": 1, "cpu_milli": 1}))
    harness.run(3_000)
    assert not harness.starts_of("00000000000000bb.0.0.0")


def test_crash_before_its_entry_is_back_is_no_leave(harness):
    harness.take_over()
    harness.run(300)
    worker = next(iter(harness.cell.context.workers.values()))
    assert worker.answers_unlisted
    assert not worker.is_leaving


# It asks at an address that now belongs to another worker.
def test_other_worker_at_the_stored_address_shows_that_one_is_gone(harness):
    gone = harness.workers["w0"]
    gone.end_incarnation(harness.now)
    gone.is_replaced = True
    harness.take_over()
    harness.run(300)
    harness.publish_worker_list(harness.listed[1:])
    harness.run(500)
    starts = [row for n in range(6) for row in harness.starts_of(f"{JOB}.0.0.{n}")]
    assert len(starts) == 6
    assert not harness.runs_of("w0")
    assert not tasks_run_twice(harness)


def test_record_of_an_earlier_release_still_names_the_machine(harness):
    for key in list(harness.store):
        if key.startswith(LOCATION_KEY):
            harness.store[key] = b"m-1"
    harness.take_over()
    worker = next(iter(harness.cell.context.workers.values()))
    assert (worker.entry.machine_id, worker.entry.host) == ("m-1", "")
