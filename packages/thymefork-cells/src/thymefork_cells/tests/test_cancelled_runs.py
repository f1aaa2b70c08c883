"""Cancelled tasks that ran on until the next owner came.

Seen: two lasting tasks ran for a minute after their job's cancelling was acknowledged,
on a worker that answered all the time; the next owner of the cell stopped them at once.

How: the store was away for nine seconds and the workers' entries lapsed. A new owner
took the cell over before they were back. It knew the tasks from the job's record, but
not their worker's address; the job was cancelled in that moment.

Cause: the order to stop went nowhere, since it had no address, and a stop was repeated
only after an answer, or silence, to an earlier one. The worker was listed again 2 s
later; its leases were renewed from then on, and nobody stopped anything.

Proof: the counts of stops tell that the order was dropped, and the first test below
fails in the same way; the third, where the entry lapses after the cancelling, passes.
"""

import pytest

from thymefork_cells.effects import Outcome, StopRun
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
# Three acknowledged seconds and the time that a worker takes to stop.
GONE_MS = 3_200


def start_lasting(harness, count=2):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    lasting = {"count": count, "cpu_milli": 500, "long_running": True}
    harness.submit(JOB, job_spec(lasting))
    harness.run(400)
    assert running(harness)


def running(harness):
    """Return what runs anywhere."""
    for worker in harness.workers.values():
        worker.advance(harness.now)
    return [key for worker in harness.workers.values() for key in worker.running]


def cancel(harness):
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    harness.run(100)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED


@pytest.mark.parametrize("unlisted_ms", [300, 2_000])
def test_a_task_cancelled_while_its_worker_is_not_listed_is_stopped(
    make_harness, unlisted_ms
):
    harness = make_harness(workers=2)
    start_lasting(harness)
    entries, harness.entries = harness.entries, []
    harness.take_over()
    harness.run(50)
    cancel(harness)
    harness.run(unlisted_ms)
    harness.list_workers(entries)
    harness.run(GONE_MS - unlisted_ms)
    assert not running(harness)
    assert not harness.cell.context.workers["w0"].runs


def test_a_job_that_ended_before_a_takeover_is_stopped_on_an_unlisted_worker(
    make_harness,
):
    harness = make_harness(workers=2)
    start_lasting(harness)
    harness.lose = lambda effect: isinstance(effect, StopRun)
    cancel(harness)
    harness.lose = lambda effect: False
    assert running(harness)
    entries, harness.entries = harness.entries, []
    harness.take_over()
    harness.run(300)
    harness.list_workers(entries)
    harness.run(1_000)
    assert not running(harness)
    assert harness.job(JOB).shown_state is JobState.CANCELLED


def test_a_task_cancelled_before_its_worker_is_unlisted_is_stopped(make_harness):
    harness = make_harness(workers=2)
    start_lasting(harness)
    harness.take_over()
    harness.run(50)
    cancel(harness)
    harness.list_workers([])
    harness.run(GONE_MS)
    assert not running(harness)


def no_outcome(harness):
    harness.drop = lambda effect: isinstance(effect, StopRun)


def answered_in_vain(harness):
    for worker in harness.workers.values():
        worker.idle_stops = 2


@pytest.mark.parametrize("go_astray", [no_outcome, answered_in_vain])
def test_a_stop_that_changed_nothing_is_repeated(make_harness, go_astray):
    harness = make_harness(workers=2)
    start_lasting(harness)
    go_astray(harness)
    cancel(harness)
    harness.drop = lambda effect: False
    harness.run(GONE_MS)
    assert not running(harness)
