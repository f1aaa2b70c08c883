"""Detection of worker incarnations from reports and entries."""

import pytest
from attrs import evolve

from thymefork_cells import WorkerReport
from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState

from .harness import START_EPOCH_MS, job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
FIRST_START_MS = int(START_EPOCH_MS)
ADVICE = {"decision_ms": 5.0, "per_worker_ms": 0.1, "valid_ms": 2_500.0}


@pytest.fixture
def single_worker_harness(make_harness):
    """Return a harness with one worker."""
    return make_harness(workers=1)


def tracked_worker(harness):
    (worker,) = harness.cell.context.workers.values()
    return worker


def report_of(born_epoch_ms, clock_ms=1):
    return WorkerReport(
        clock_ms=clock_ms, running=(), ended=(), born_epoch_ms=born_epoch_ms
    )


def receive(harness, report, worker=None):
    worker = worker or tracked_worker(harness)
    harness.cell.on_report(worker, report, 0, now_ms=harness.now)


# Reports -------------------------------------------------------------------------


def test_report_of_later_incarnation_replaces_worker(single_worker_harness):
    old = tracked_worker(single_worker_harness)
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    new = tracked_worker(single_worker_harness)
    assert old.is_over and new is not old
    assert new.incarnation == ("w0", FIRST_START_MS + 1) and not new.has_reported


@pytest.mark.parametrize("born_epoch_ms", [FIRST_START_MS - 1, 0])
def test_report_of_earlier_or_no_incarnation_is_no_answer(
    single_worker_harness, born_epoch_ms
):
    single_worker_harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    single_worker_harness.run(200)
    worker = tracked_worker(single_worker_harness)
    unanswered = worker.unanswered_in_row
    receive(single_worker_harness, report_of(born_epoch_ms, clock_ms=10**9))
    assert (
        tracked_worker(single_worker_harness) is worker
        and worker.unanswered_in_row == unanswered + 1
    )
    single_worker_harness.run(3_000)
    assert single_worker_harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(single_worker_harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_answer_of_previous_incarnation_is_ignored(single_worker_harness):
    old = tracked_worker(single_worker_harness)
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    receive(
        single_worker_harness, report_of(FIRST_START_MS, clock_ms=10**9), worker=old
    )
    single_worker_harness.cell.poller.on_poll_unanswered(
        old, quick=False, now_ms=single_worker_harness.now
    )
    assert tracked_worker(single_worker_harness).born_epoch_ms == FIRST_START_MS + 1
    assert not old.unanswered_in_row


def test_worker_with_clock_set_back_is_tracked_once_idle(single_worker_harness):
    worker = tracked_worker(single_worker_harness)
    worker.may_run_until_ms = single_worker_harness.now + 100.0
    receive(single_worker_harness, report_of(FIRST_START_MS - 5_000))
    assert tracked_worker(single_worker_harness) is worker
    worker.may_run_until_ms = 0.0
    receive(single_worker_harness, report_of(FIRST_START_MS - 5_000))
    assert tracked_worker(single_worker_harness).born_epoch_ms == FIRST_START_MS - 5_000


def test_workers_without_start_time_are_tracked_by_id(make_harness):
    harness = make_harness(workers=1)
    harness.workers["w0"].born_epoch_ms = 0
    harness.entries = [evolve(entry, born_epoch_ms=0) for entry in harness.entries]
    harness.take_over()
    harness.run(50)
    worker = tracked_worker(harness)
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 1_000}))
    harness.run(3_000)
    assert tracked_worker(harness) is worker
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# Entries -------------------------------------------------------------------------


def test_entry_without_start_time_keeps_the_worker(make_harness):
    harness = make_harness(workers=1)
    harness.entries = [evolve(harness.entries[0], born_epoch_ms=0)]
    harness.take_over()
    harness.run(50)
    worker = tracked_worker(harness)
    assert worker.born_epoch_ms == FIRST_START_MS
    harness.load_worker_list([evolve(harness.entries[0], draining=True)])
    assert tracked_worker(harness) is worker and worker.entry.draining


def test_entry_of_later_incarnation_replaces_worker(single_worker_harness):
    old = tracked_worker(single_worker_harness)
    entry = evolve(
        single_worker_harness.entries[0], born_epoch_ms=FIRST_START_MS + 1, cpu_milli=1
    )
    single_worker_harness.load_worker_list([entry])
    assert old.is_over and tracked_worker(single_worker_harness).entry == entry


@pytest.mark.parametrize("born_epoch_ms", [FIRST_START_MS, 0])
def test_worker_with_outdated_entry_gets_no_work(single_worker_harness, born_epoch_ms):
    """Its capacity is unknown until its own entry is read."""
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    old_entry = evolve(
        single_worker_harness.entries[0], born_epoch_ms=born_epoch_ms, cpu_milli=9_000
    )
    single_worker_harness.load_worker_list([old_entry])
    single_worker_harness.workers["w0"].born_epoch_ms = FIRST_START_MS + 1
    single_worker_harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    single_worker_harness.run(1_000)
    assert (
        tracked_worker(single_worker_harness).has_reported
        and not single_worker_harness.running()
    )
    single_worker_harness.load_worker_list(
        [evolve(old_entry, born_epoch_ms=FIRST_START_MS + 1)]
    )
    single_worker_harness.run(2_000)
    assert single_worker_harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_ended_incarnation_is_not_tracked_again(single_worker_harness):
    """Guards against adding and removing a worker whenever its old entry is read."""
    single_worker_harness.cell.on_other_incarnation(
        tracked_worker(single_worker_harness), now_ms=single_worker_harness.now
    )
    for _ in range(3):
        single_worker_harness.load_worker_list(list(single_worker_harness.entries))
        single_worker_harness.run(400)
    assert not single_worker_harness.cell.context.workers
    single_worker_harness.load_worker_list(
        [evolve(single_worker_harness.entries[0], born_epoch_ms=FIRST_START_MS + 1)]
    )
    assert tracked_worker(single_worker_harness).born_epoch_ms == FIRST_START_MS + 1


def test_new_incarnation_is_kept_until_polled(single_worker_harness):
    """Guards against losing the fence of a worker that was removed too early."""
    single_worker_harness.run(12_000)
    single_worker_harness.load_worker_list([])
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    single_worker_harness.workers["w0"].is_unreachable = True
    single_worker_harness.run(1_000)
    assert tracked_worker(single_worker_harness).born_epoch_ms == FIRST_START_MS + 1


def test_forgotten_incarnation_keeps_its_fence(make_harness):
    """A lower fence would be refused as that of a previous owner."""
    harness = make_harness(workers=1)
    (worker,) = harness.workers.values()
    harness.restart(worker, away_ms=20.0)
    harness.run(1_000)
    assert worker.fence == tracked_worker(harness).fence(harness.epoch)
    worker.is_unreachable = True
    (entry,) = harness.entries
    harness.load_worker_list([])
    harness.run(15_000)
    assert not harness.cell.context.workers
    worker.is_unreachable = False
    harness.load_worker_list([entry])
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# Commands and ends in flight -------------------------------------------------------


def test_unreported_end_is_not_acknowledged(make_harness):
    """The run starts and ends on a new incarnation that the owner does not know yet."""
    harness = make_harness(workers=1)
    (worker,) = harness.workers.values()
    harness.submit(JOB, job_spec({"count": 6, "cpu_milli": 1_000}))
    harness.run(2_000)
    worker.work_ms = 1.0
    harness.restart(worker, away_ms=20.0, entry_delay_ms=5_000.0)
    harness.run(30)
    harness.submit(f"{1:016x}", job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(10_000)
    assert harness.job(f"{1:016x}").visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{1:016x}.0.0.0")) == 1
    assert not tasks_run_twice(harness)


def test_start_for_previous_incarnation_is_not_sent(single_worker_harness):
    """The worker restarts while the intent is being stored."""
    sent = []
    single_worker_harness.is_command_lost = lambda effect: (
        isinstance(effect, StartRun) and sent.append(effect)
    )
    single_worker_harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    while not tracked_worker(single_worker_harness).runs:
        single_worker_harness.run(1)
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    single_worker_harness.run(100)
    assert not sent
    assert not tracked_worker(single_worker_harness).runs


def test_tickets_are_valid_for_one_incarnation(make_harness):
    harness = make_harness(workers=1, advice=ADVICE)
    harness.submit(JOB, job_spec({"count": 20, "cpu_milli": 1_000}))
    harness.run(300)
    (step,) = harness.job(JOB).steps
    assert step.tickets
    receive(harness, report_of(FIRST_START_MS + 1))
    assert not step.tickets


def test_lease_possibly_taken_by_new_incarnation_is_awaited(single_worker_harness):
    """On the reset clock the lease may last up to `max_hold_ms`."""
    old = tracked_worker(single_worker_harness)
    single_worker_harness.cell.poller.record_lease(
        old, 3_000.0, now_ms=single_worker_harness.now
    )
    receive(single_worker_harness, report_of(FIRST_START_MS + 1))
    bounds = single_worker_harness.cell.context.bounds
    assert (
        tracked_worker(single_worker_harness).runs_until_ms
        > single_worker_harness.now + bounds.max_hold_ms
    )
