"""How long a new owner waits for the leases of owners before it."""

import pytest
from attrs import evolve

from thymefork_cells import EPOCH_KEY, LeaseNotice, OwnerEnd
from thymefork_cells.workers.lease_duration import (
    LEASE_MS,
    SHORT_LEASE_MS,
    max_lease_duration_ms,
)

from .harness import job_spec

JOB = "00000000000000aa"
LONG_MS = max_lease_duration_ms(LEASE_MS)
SHORT_MS = max_lease_duration_ms(SHORT_LEASE_MS)
# Interval of a cell's reviews, which notice a quorum or a leaving worker.
REVIEW_MS = 100.0


@pytest.fixture
def harness(make_harness):
    """Return a harness with a run on w0, which is announced as leaving."""
    harness = make_harness(workers=4)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 8_000}))
    harness.run(300)
    harness.publish_worker_list(
        [
            evolve(entry, draining=entry.worker_id == "w0", leaves_in_ms=0)
            for entry in harness.entries
        ]
    )
    harness.run(LONG_MS)
    return harness


def leave(harness, worker_id="w0"):
    """End a worker; its entry goes."""
    harness.workers[worker_id].end_incarnation(harness.now)
    harness.entries = [row for row in harness.entries if row.worker_id != worker_id]


def inherited_ms(harness, worker_id):
    """Return how long the inherited leases last at most from the takeover on."""
    worker = harness.cell.context.workers[worker_id]
    return worker.inherited_until_ms - harness.cell.context.taken_over_ms


def take_over_without_owner(harness):
    harness.is_owner_down = True
    leave(harness)
    harness.take_over()
    harness.run(2 * REVIEW_MS)


def test_announced_worker_is_waited_for_by_its_short_leases(harness):
    take_over_without_owner(harness)
    assert inherited_ms(harness, "w0") < 1_100.0 + SHORT_MS
    assert inherited_ms(harness, "w1") >= 1_000.0 + LONG_MS


def test_long_leases_of_before_the_announcement_are_waited_for(make_harness):
    harness = make_harness(workers=4)
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 8_000}))
    harness.run(300)
    harness.publish_worker_list([evolve(row, draining=True) for row in harness.entries])
    harness.run(REVIEW_MS)
    granted_ms = harness.now
    (notice,) = harness.lease_notices
    assert max(row.long_leases_until_ms for row in notice.leaving) <= (
        granted_ms + LONG_MS
    )
    take_over_without_owner(harness)
    worker = harness.cell.context.workers["w0"]
    (row,) = [row for row in notice.leaving if row.worker_id == "w0"]
    assert worker.inherited_until_ms >= row.long_leases_until_ms


# Its promise says nothing about the leases of the owner that came after it.
def test_announcement_does_not_count_if_another_owner_came_between(harness):
    harness.epoch += 1
    harness.store[f"{EPOCH_KEY}{harness.epoch}"] = b"another"
    take_over_without_owner(harness)
    assert inherited_ms(harness, "w0") >= 1_000.0 + LONG_MS


def test_owner_that_never_served_does_not_stand_between(harness):
    harness.epoch += 1
    harness.store[f"{EPOCH_KEY}{harness.epoch}"] = b"another"
    end = OwnerEnd(ended_ms=harness.now, has_served=False, earlier_leases_until_ms=0.0)
    harness.lease_notices.append(LeaseNotice(epoch=harness.epoch, end=end))
    take_over_without_owner(harness)
    assert inherited_ms(harness, "w0") < 1_100.0 + SHORT_MS


def test_leases_count_from_the_announced_end_of_the_owner(harness):
    harness.stop_owner()
    stopped_ms = harness.now
    harness.run(1_000)
    leave(harness)
    harness.take_over()
    harness.run(2 * REVIEW_MS)
    workers = harness.cell.context.workers
    assert workers["w0"].inherited_until_ms == stopped_ms + SHORT_MS
    assert workers["w1"].inherited_until_ms == stopped_ms + LONG_MS


def test_second_owner_passes_the_announcement_on(harness):
    take_over_without_owner(harness)
    harness.is_owner_down = True
    harness.take_over()
    harness.run(2 * REVIEW_MS)
    assert inherited_ms(harness, "w0") < 1_100.0 + SHORT_MS


# A sound task was held for one that crashes workers, and waited for an empty worker.
def test_loss_of_an_announced_worker_is_no_crash(harness):
    take_over_without_owner(harness)
    harness.run(5_000)
    (line,) = [note.fields for note in harness.notes if note.event == "runs_lost"]
    assert line["was_leaving"]
    assert not any(task.losses for task in harness.job(JOB).steps[0].tasks)


def test_epochs_before_are_forgotten_once_a_quorum_accepts_the_fence(harness):
    take_over_without_owner(harness)
    harness.run(1_000)
    keys = [key for key in harness.store if key.startswith(EPOCH_KEY)]
    assert keys == [f"{EPOCH_KEY}{harness.epoch}"]
