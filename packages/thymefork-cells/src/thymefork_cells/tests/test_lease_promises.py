"""Faults in what a new owner assumes about the leases of owners before it."""

from attrs import evolve

from thymefork_cells.workers.lease_duration import LEASE_MS, max_lease_duration_ms

from .harness import job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
LONG_MS = max_lease_duration_ms(LEASE_MS)
FULL_WORKER = {"count": 4, "cpu_milli": 8_000}


def without(entries, worker_id):
    return [entry for entry in entries if entry.worker_id != worker_id]


def draining(entries, worker_id):
    return [
        evolve(entry, draining=True, leaves_in_ms=0)
        if entry.worker_id == worker_id
        else entry
        for entry in entries
    ]


def cut_off_and_take_over(harness, worker_id):
    """Replace the owner at once by one that can't ask a worker, which works on."""
    other = harness.workers["w1"]
    for key in list(other.running):
        other.end(key, "done")
    harness.workers[worker_id].is_unreachable = True
    harness.is_owner_down = True
    harness.take_over()
    harness.run(8_000)


def long_work(harness):
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0


# Runs at once on two workers: a worker that came back under its id after 10 s got long
# leases, while next owners relied on the promise of short ones.
def test_promise_holds_for_a_worker_that_was_forgotten_and_came_back(make_harness):
    harness = make_harness(workers=4)
    entries = harness.entries
    harness.publish_worker_list(draining(entries, "w0"))
    harness.run(300)
    assert [row.worker_id for row in harness.lease_notices[0].leaving] == ["w0"]
    harness.workers["w0"].end_incarnation(harness.now)
    harness.publish_worker_list(without(entries, "w0"))
    harness.run(12_000)
    assert "w0" not in harness.cell.context.workers
    worker = harness.workers["w0"]
    worker.begin_incarnation(harness.now)
    harness.publish_worker_list(
        [
            evolve(entry, born_epoch_ms=worker.born_epoch_ms)
            if entry.worker_id == "w0"
            else entry
            for entry in entries
        ]
    )
    harness.run(500)
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(60)
    assert worker.running
    cut_off_and_take_over(harness, "w0")
    assert not tasks_run_twice(harness)


# Sound workers got leases of 1.2 s for good, under all later owners too, after their
# entries had been missing for 2.5 s: the store had turned their heartbeats away.
def test_worker_whose_entry_is_back_gets_long_leases_again(make_harness):
    harness = make_harness(workers=4)
    entries = harness.entries
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(1_000)
    harness.publish_worker_list(without(entries, "w0"))
    harness.run(3_500)
    harness.publish_worker_list(entries)
    harness.run(500)
    harness.is_owner_down = True
    harness.run(100)
    harness.take_over()
    harness.run(60_000)
    harness.is_owner_down = True
    harness.run(100)
    harness.take_over()
    harness.run(1_000)
    assert not harness.cell.context.workers["w0"].has_short_leases


# Each takeover logged that every worker with runs had changed its capacity from 0.
def test_takeover_logs_no_change_of_capacity(make_harness):
    harness = make_harness(workers=4)
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(1_000)
    harness.is_owner_down = True
    harness.take_over()
    harness.run(500)
    assert not [note for note in harness.notes if note.event == "worker_room_changed"]


# The promise of an owner was taken to hold for the leases of an owner of an earlier
# release, which stores its ownership but not its epoch.
def test_promise_does_not_count_after_an_owner_of_an_earlier_release(make_harness):
    harness = make_harness(workers=4)
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(300)
    harness.publish_worker_list(draining(harness.entries, "w0"))
    harness.run(LONG_MS)
    harness.epoch += 1
    harness.store["o"] = f'["edge-old",{harness.epoch}]'.encode()
    harness.is_owner_down = True
    harness.workers["w0"].is_unreachable = True
    harness.take_over()
    harness.run(300)
    worker = harness.cell.context.workers["w0"]
    waited_ms = worker.inherited_until_ms - harness.cell.context.taken_over_ms
    assert waited_ms >= 1_000.0 + LONG_MS
