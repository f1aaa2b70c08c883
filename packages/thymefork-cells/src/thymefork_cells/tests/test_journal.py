"""Records that do not fit into one append, and what waits for them."""

import pytest

from thymefork_cells.effects import Outcome
from thymefork_cells.state import JobState

from .harness import job_spec

LASTING = "f" * 16


def submit_more_than_one_append(harness):
    """Hand in 1.6 MB of jobs at once; an append carries 1 MB."""
    step = {"count": 1, "cpu_milli": 500}
    for number in range(400):
        harness.submit(f"{number:016x}", job_spec(step, payload="x" * 4_000))


def accepted(harness):
    return {
        job_id
        for job_id, reply in harness.replies.items()
        if reply.outcome is Outcome.ACCEPTED
    }


def test_no_caller_is_told_of_a_job_whose_record_waits_for_the_next_append(harness):
    submit_more_than_one_append(harness)
    while len(accepted(harness)) < 400:
        harness.run(1)
        assert accepted(harness) <= {key[1:] for key in harness.store}
        assert harness.now < 2_000


def test_a_cancelling_that_was_answered_outlasts_its_owner_beside_many_records(
    harness,
):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    lasting = {"count": 2, "cpu_milli": 500, "long_running": True}
    harness.submit(LASTING, job_spec(lasting))
    harness.run(400)
    submit_more_than_one_append(harness)
    harness.cell.intake.cancel("cancel", LASTING, now_ms=harness.now)
    while "cancel" not in harness.replies:
        harness.run(1)
    harness.take_over()
    assert harness.job(LASTING).state is JobState.CANCELLED


@pytest.mark.parametrize("down_ms", [100, 500])
def test_no_accepted_job_is_withdrawn_with_those_of_a_later_append(harness, down_ms):
    submit_more_than_one_append(harness)
    while not accepted(harness):
        harness.run(1)
    harness.store_down = True
    harness.run(down_ms)
    harness.store_down = False
    harness.run(500)
    assert accepted(harness)
    assert accepted(harness) <= harness.cell.context.jobs.keys()
    refused = set(harness.replies) - accepted(harness)
    assert not refused & harness.cell.context.jobs.keys()


def test_a_successor_reads_little_of_jobs_that_have_ended(harness):
    """From cab-bogota-large, trouble-3 at a small size: takeovers that never ended.

    Three of four jobs had ended, and descriptions were nine tenths of what each
    takeover read over a link of 2 Mbit/s: more than a second of it, at each try.
    """
    for number in range(40):
        spec = job_spec({"count": 2, "cpu_milli": 500}, payload="x" * 600)
        harness.submit(f"{number:016x}", spec)
    harness.run(5_000)
    assert all(not job.is_live for job in harness.cell.context.jobs.values())
    stored_bytes = sum(len(key) + len(value) for key, value in harness.store.items())
    assert stored_bytes < 40 * 60
    harness.take_over()
    harness.cell.intake.read("read", f"{7:016x}")
    harness.run(20)
    assert harness.replies["read"].state == JobState.SUCCEEDED
    harness.submit(f"{7:016x}", job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(1_000)
    assert not harness.starts_of(f"{7:016x}.0.0.0")[1:]


def test_a_job_cancelled_before_its_first_append_is_told_by_a_successor(harness):
    harness.submit(LASTING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.cell.intake.cancel("cancel", LASTING, now_ms=harness.now)
    harness.run(1_000)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.take_over()
    assert harness.job(LASTING).visible_state is JobState.CANCELLED


def test_a_loan_goes_before_all_runs_though_more_waits_than_an_append_carries(harness):
    submit_more_than_one_append(harness)
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    batch = journal.take(harness.now)
    assert batch.records[0] == ("l1/a", b"[]") and not journal.is_empty


def test_a_loan_that_was_not_stored_goes_with_the_next_append_as_it_is_then(harness):
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    journal.put("l2/a", b"")
    batch = journal.take(harness.now)
    journal.put("l1/a", b"[1]")
    journal.put_back(batch)
    assert dict(journal.take(harness.now).records) == {"l1/a": b"[1]", "l2/a": b""}
    assert journal.is_empty


def test_a_grant_waits_for_its_loan(harness):
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    journal.after("grant")
    batch = journal.take(harness.now)
    assert batch.effects == ["grant"] and dict(batch.records) == {"l1/a": b"[]"}
