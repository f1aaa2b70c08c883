"""Leases by the steady clocks of workers, which may be slow."""

from thymefork_cells.state.worker import MAX_CLOCK_DRIFT, Worker
from thymefork_cells.workers.lease_duration import LEASE_MS

from .harness import job_spec
from .run_invariants import tasks_run_twice
from .test_lease_promises import FULL_WORKER, JOB, cut_off_and_take_over, long_work


# Runs at once on two workers: the clock of an idle worker is not read, so a worker that
# is 2% slow got a lease that was longer by 2% of the time for which it had been idle.
def test_lease_on_a_slow_clock_ends_in_time_after_idleness(make_harness):
    harness = make_harness(workers=4)
    harness.env.process(slow_clock(harness, "w0"))
    harness.run(60_000)
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(60)
    assert harness.workers["w0"].running
    harness.stop_owner()
    harness.run(50)
    cut_off_and_take_over(harness, "w0")
    assert not tasks_run_twice(harness)


def slow_clock(harness, worker_id):
    while True:
        yield harness.env.timeout(100)
        harness.workers[worker_id].clock_offset_ms -= 2.0


def test_earliest_clock_grows_more_slowly_than_time():
    worker = Worker(entry=None)
    worker.read_clock(5_000, 1_000.0)
    assert worker.clock_ms(1_000.0) == 5_000.0
    assert worker.clock_ms(11_000.0) == 15_000.0 - 10_000.0 * MAX_CLOCK_DRIFT


def test_reading_that_is_older_than_what_is_known_changes_nothing():
    worker = Worker(entry=None)
    worker.read_clock(5_000, 1_000.0)
    worker.read_clock(5_100, 2_000.0)
    assert worker.clock_ms(2_000.0) > 5_100.0


def test_clock_of_an_idle_worker_is_read_now_and_then(harness):
    harness.run(120_000)
    for worker in harness.cell.context.workers.values():
        assert harness.now - worker.clock_read_ms < 25_000.0


# Leases ended up to 0.7 s too soon in the simulator, which hid runs at once: a worker
# took the lease of a poll when it answered it instead of when the poll arrived.
def test_simulated_worker_takes_a_lease_as_the_poll_arrives(make_harness):
    harness = make_harness(workers=4)
    long_work(harness)
    harness.submit(JOB, job_spec(FULL_WORKER))
    harness.run(5_000)
    tracked = harness.cell.context.workers["w0"]
    while harness.now - tracked.poll_sent_ms < 100:
        harness.run(10)
    taken_ms = harness.workers["w0"].lease_until_ms
    assert taken_ms >= tracked.poll_sent_ms + LEASE_MS - 20.0
