"""Which life of a worker is followed, by what listings and entries tell."""

import pytest
from attrs import evolve

from thymefork_cells import WorkerReport
from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState

from .harness import START_EPOCH_MS, job_spec
from .run_invariants import tasks_run_twice

JOB = "00000000000000aa"
FIRST_BORN_MS = int(START_EPOCH_MS)
ADVICE = {"decision_ms": 5.0, "per_worker_ms": 0.1, "valid_ms": 2_500.0}


@pytest.fixture
def alone(make_harness):
    """Return a harness with one worker."""
    return make_harness(workers=1)


def followed(harness):
    (worker,) = harness.cell.context.workers.values()
    return worker


def listing(born_epoch_ms, clock_ms=1):
    return WorkerReport(
        clock_ms=clock_ms, running=(), ended=(), born_epoch_ms=born_epoch_ms
    )


def hear(harness, report, worker=None):
    worker = worker or followed(harness)
    harness.cell.on_report(worker, report, 0, now_ms=harness.now)


# Listings ------------------------------------------------------------------------


def test_a_listing_of_a_later_life_begins_it(alone):
    old = followed(alone)
    hear(alone, listing(FIRST_BORN_MS + 1))
    new = followed(alone)
    assert old.is_over and new is not old
    assert new.incarnation == ("w0", FIRST_BORN_MS + 1) and not new.has_reported


@pytest.mark.parametrize("born_epoch_ms", [FIRST_BORN_MS - 1, 0])
def test_a_listing_of_an_earlier_life_or_of_none_counts_as_no_answer(
    alone, born_epoch_ms
):
    alone.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    alone.run(200)
    worker = followed(alone)
    misses = worker.unanswered_in_row
    hear(alone, listing(born_epoch_ms, clock_ms=10**9))
    assert followed(alone) is worker and worker.unanswered_in_row == misses + 1
    alone.run(3_000)
    assert alone.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(alone.starts_of(f"{JOB}.0.0.0")) == 1


def test_an_answer_of_the_life_before_changes_nothing(alone):
    old = followed(alone)
    hear(alone, listing(FIRST_BORN_MS + 1))
    hear(alone, listing(FIRST_BORN_MS, clock_ms=10**9), worker=old)
    alone.cell.poller.on_poll_unanswered(old, quick=False, now_ms=alone.now)
    assert followed(alone).born_epoch_ms == FIRST_BORN_MS + 1
    assert not old.unanswered_in_row


def test_a_worker_whose_time_was_set_back_is_followed_once_nothing_runs(alone):
    worker = followed(alone)
    worker.may_run_until_ms = alone.now + 100.0
    hear(alone, listing(FIRST_BORN_MS - 5_000))
    assert followed(alone) is worker
    worker.may_run_until_ms = 0.0
    hear(alone, listing(FIRST_BORN_MS - 5_000))
    assert followed(alone).born_epoch_ms == FIRST_BORN_MS - 5_000


def test_lives_that_are_not_told_are_told_apart_by_id_alone(make_harness):
    harness = make_harness(workers=1)
    harness.workers["w0"].born_epoch_ms = 0
    harness.entries = [evolve(entry, born_epoch_ms=0) for entry in harness.entries]
    harness.take_over()
    harness.run(50)
    worker = followed(harness)
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 1_000}))
    harness.run(3_000)
    assert followed(harness) is worker
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# Entries -------------------------------------------------------------------------


def test_an_entry_may_leave_the_start_to_the_listings(make_harness):
    harness = make_harness(workers=1)
    harness.entries = [evolve(harness.entries[0], born_epoch_ms=0)]
    harness.take_over()
    harness.run(50)
    worker = followed(harness)
    assert worker.born_epoch_ms == FIRST_BORN_MS
    harness.load_worker_list([evolve(harness.entries[0], draining=True)])
    assert followed(harness) is worker and worker.entry.draining


def test_an_entry_of_a_later_life_begins_it(alone):
    old = followed(alone)
    entry = evolve(alone.entries[0], born_epoch_ms=FIRST_BORN_MS + 1, cpu_milli=1)
    alone.load_worker_list([entry])
    assert old.is_over and followed(alone).entry == entry


@pytest.mark.parametrize("born_epoch_ms", [FIRST_BORN_MS, 0])
def test_an_entry_of_an_earlier_life_gives_no_work(alone, born_epoch_ms):
    """Until its own entry is read, its kind and room are not known."""
    hear(alone, listing(FIRST_BORN_MS + 1))
    old_entry = evolve(alone.entries[0], born_epoch_ms=born_epoch_ms, cpu_milli=9_000)
    alone.load_worker_list([old_entry])
    alone.workers["w0"].born_epoch_ms = FIRST_BORN_MS + 1
    alone.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    alone.run(1_000)
    assert followed(alone).has_reported and not alone.running()
    alone.load_worker_list([evolve(old_entry, born_epoch_ms=FIRST_BORN_MS + 1)])
    alone.run(2_000)
    assert alone.job(JOB).visible_state is JobState.SUCCEEDED


def test_a_life_that_is_over_is_not_followed_anew_while_its_entry_stands(alone):
    """From a day of restarts: its entry was taken and given up on each reading."""
    alone.cell.on_other_incarnation(followed(alone), now_ms=alone.now)
    for _ in range(3):
        alone.load_worker_list(list(alone.entries))
        alone.run(400)
    assert not alone.cell.context.workers
    alone.load_worker_list([evolve(alone.entries[0], born_epoch_ms=FIRST_BORN_MS + 1)])
    assert followed(alone).born_epoch_ms == FIRST_BORN_MS + 1


def test_a_new_life_is_not_forgotten_before_it_was_looked_at(alone):
    """From a drawn case: it was forgotten within 20 ms, and its fence with it."""
    alone.run(12_000)
    alone.load_worker_list([])
    hear(alone, listing(FIRST_BORN_MS + 1))
    alone.workers["w0"].is_unreachable = True
    alone.run(1_000)
    assert followed(alone).born_epoch_ms == FIRST_BORN_MS + 1


def test_a_life_that_was_forgotten_is_followed_with_its_fence(make_harness):
    """Another fence would be refused, and taken for a sign of a newer owner."""
    harness = make_harness(workers=1)
    (worker,) = harness.workers.values()
    harness.restart(worker, away_ms=20.0)
    harness.run(1_000)
    assert worker.fence == followed(harness).fence(harness.epoch)
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


# What was under way ----------------------------------------------------------------


def test_an_end_that_nobody_has_heard_is_not_acknowledged(make_harness):
    """The start and the end are the new life's, before anybody knows of that."""
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


def test_a_start_that_was_decided_for_the_life_before_is_not_sent(alone):
    """Its intent is being stored while the worker starts again."""
    sent = []
    alone.is_command_lost = lambda effect: (
        isinstance(effect, StartRun) and sent.append(effect)
    )
    alone.submit(JOB, job_spec({"count": 1, "cpu_milli": 1_000}))
    while not followed(alone).runs:
        alone.run(1)
    hear(alone, listing(FIRST_BORN_MS + 1))
    alone.run(100)
    assert not sent
    assert not followed(alone).runs


def test_tickets_hold_for_one_life(make_harness):
    harness = make_harness(workers=1, advice=ADVICE)
    harness.submit(JOB, job_spec({"count": 20, "cpu_milli": 1_000}))
    harness.run(300)
    (step,) = harness.job(JOB).steps
    assert step.tickets
    hear(harness, listing(FIRST_BORN_MS + 1))
    assert not step.tickets


def test_a_lease_that_the_new_life_may_have_taken_is_waited_for(alone):
    """Sent for the clock of before, it may reach as far as a worker lets it."""
    old = followed(alone)
    alone.cell.poller.record_lease(old, 3_000.0, now_ms=alone.now)
    hear(alone, listing(FIRST_BORN_MS + 1))
    bounds = alone.cell.context.bounds
    assert followed(alone).runs_until_ms > alone.now + bounds.max_hold_ms
