"""When a new owner knows that no owner before it can renew a lease."""

import pytest
from attrs import evolve

from thymefork_cells import EPOCH_KEY
from thymefork_cells.workers.worker_locations import LOCATION_KEY

from .harness import job_spec
from .virtual_worker import VirtualWorker

JOB = "00000000000000aa"
WORKERS = 20


@pytest.fixture
def harness(make_harness):
    """Return a harness with a job on few of its workers."""
    harness = make_harness(workers=WORKERS)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 8_000}))
    harness.run(500)
    return harness


def add_workers(harness, count):
    """Add workers on new machines to the platform's list."""
    template = harness.entries[0]
    for number in range(count):
        new_id = f"new-{number}"
        harness.workers[new_id] = VirtualWorker(worker_id=new_id)
        harness.capacity_history[new_id] = [(float("-inf"), template.cpu_milli)]
        entry = evolve(template, worker_id=new_id, machine_id=f"m-{new_id}")
        harness.entries = [*harness.entries, entry]


def take_over_without(harness, worker_ids, *, entries=()):
    """Replace the owner after an outage in which workers became unreachable."""
    harness.is_owner_down = True
    for worker_id in worker_ids:
        harness.workers[worker_id].is_unreachable = True
    harness.entries = list(entries)
    harness.run(3_500)
    harness.take_over()


def test_records_name_all_workers_of_the_owner(harness):
    names = [key for key in harness.store if key.startswith(LOCATION_KEY)]
    assert len(names) == WORKERS


def test_answers_of_idle_workers_count_until_the_last_one_came(harness):
    slow = sorted(harness.workers)[9:]
    take_over_without(harness, slow, entries=harness.entries)
    harness.run(2_000)
    assert not harness.cell.inherited_leases.has_quorum
    for worker_id in slow:
        harness.workers[worker_id].is_unreachable = False
    harness.run(1_000)
    assert harness.cell.inherited_leases.has_quorum


# The new owner waited 12.1 s: some workers had left, and a hall was cut off.
def test_half_of_the_previous_workers_are_enough(harness):
    ids = sorted(harness.workers)
    take_over_without(harness, ids[:9], entries=harness.entries)
    harness.run(1_000)
    assert harness.cell.inherited_leases.has_quorum


# Otherwise the owner before may have 60% of its workers, and renew leases there.
def test_less_than_half_of_the_previous_workers_are_not(harness):
    ids = sorted(harness.workers)
    take_over_without(harness, ids[:11], entries=harness.entries)
    harness.run(4_000)
    assert not harness.cell.inherited_leases.has_quorum


def test_workers_count_though_they_are_not_listed(harness):
    gone = sorted(harness.workers)[:11]
    listed = [entry for entry in harness.entries if entry.worker_id not in gone]
    take_over_without(harness, gone, entries=listed)
    harness.run(4_000)
    assert not harness.cell.inherited_leases.has_quorum


# Answers of workers that the previous owner never knew say nothing about its quorum.
def test_workers_that_came_later_do_not_count(harness):
    gone = sorted(harness.workers)[:11]
    entries = [entry for entry in harness.entries if entry.worker_id not in gone]
    harness.entries = entries
    add_workers(harness, WORKERS)
    take_over_without(harness, gone, entries=harness.entries)
    harness.run(4_000)
    assert not harness.cell.inherited_leases.has_quorum


# A next owner can't know of a worker that was not stored, and so not of its answers.
def test_owner_counts_only_recorded_workers(harness):
    known = list(harness.workers)
    add_workers(harness, WORKERS)
    harness.store_down = harness.cell.context.is_store_unavailable = True
    harness.load_worker_list(harness.entries)
    harness.run(1_000)
    assert harness.cell.quorum.is_held(harness.now)
    for worker_id in known:
        harness.workers[worker_id].is_unreachable = True
    harness.run(2_000)
    assert not harness.cell.quorum.is_held(harness.now)


def test_data_of_an_earlier_release_needs_all_known_workers(harness):
    for key in [key for key in harness.store if key.startswith(EPOCH_KEY)]:
        del harness.store[key]
    gone = sorted(harness.workers)[:9]
    take_over_without(harness, gone, entries=harness.entries)
    harness.run(4_000)
    assert not harness.cell.inherited_leases.has_quorum


# A gone worker would be asked in vain for as long as it is remembered.
def test_unlisted_worker_without_runs_is_not_asked_after_the_quorum(harness):
    idle = next(
        worker_id for worker_id, worker in harness.workers.items() if not worker.running
    )
    take_over_without(harness, [idle], entries=harness.entries)
    harness.publish_worker_list([e for e in harness.entries if e.worker_id != idle])
    harness.run(1_000)
    polls = harness.cell.context.workers[idle].unanswered_in_row
    harness.run(3_000)
    assert harness.cell.context.workers[idle].unanswered_in_row <= polls + 1


# Each unanswered poll of a gone worker made its whole hall suspect, which was polled.
def test_silence_of_gone_workers_makes_no_other_suspect(harness):
    gone = sorted(harness.workers)[:4]
    listed = [entry for entry in harness.entries if entry.worker_id not in gone]
    take_over_without(harness, gone, entries=listed)
    harness.run(1_500)
    workers = harness.cell.context.workers.values()
    assert all(
        worker.unanswered_in_row for worker in workers if worker.worker_id in gone
    )
    assert not any(w.suspected_ms for w in workers if w.worker_id not in gone)
