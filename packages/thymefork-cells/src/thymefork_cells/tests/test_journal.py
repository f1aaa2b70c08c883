"""Records that do not fit into one append, and effects that wait for them."""

import pytest

from thymefork_cells.effects import Outcome
from thymefork_cells.specs import RecordLimits
from thymefork_cells.state import JobState

from .harness import job_spec

LONG_RUNNING_JOB = "f" * 16


def submit_more_than_fits_one_append(harness):
    """Submit 1.6 MB of jobs at once; an append holds 1 MB."""
    step = {"count": 1, "cpu_milli": 500}
    for number in range(400):
        harness.submit(f"{number:016x}", job_spec(step, payload="x" * 4_000))


def accepted(harness):
    return {
        job_id
        for job_id, reply in harness.replies.items()
        if reply.outcome is Outcome.ACCEPTED
    }


def test_job_in_a_later_append_is_not_accepted_early(harness):
    submit_more_than_fits_one_append(harness)
    while len(accepted(harness)) < 400:
        harness.run(1)
        assert accepted(harness) <= {key[1:] for key in harness.store}
        assert harness.now < 2_000


def test_acknowledged_cancellation_survives_takeover(
    harness,
):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    long_running_step = {"count": 2, "cpu_milli": 500, "long_running": True}
    harness.submit(LONG_RUNNING_JOB, job_spec(long_running_step))
    harness.run(400)
    submit_more_than_fits_one_append(harness)
    harness.cell.intake.cancel("cancel", LONG_RUNNING_JOB, now_ms=harness.now)
    while "cancel" not in harness.replies:
        harness.run(1)
    harness.take_over()
    assert harness.job(LONG_RUNNING_JOB).state is JobState.CANCELLED


@pytest.mark.parametrize("down_ms", [100, 500])
def test_accepted_job_is_kept_when_a_later_append_fails(harness, down_ms):
    submit_more_than_fits_one_append(harness)
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


def test_records_of_ended_jobs_are_small(harness):
    """Guards against takeovers that are slow because they read specs of ended jobs."""
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


def test_job_cancelled_before_its_first_append_survives_takeover(harness):
    harness.submit(LONG_RUNNING_JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.cell.intake.cancel("cancel", LONG_RUNNING_JOB, now_ms=harness.now)
    harness.run(1_000)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.take_over()
    assert harness.job(LONG_RUNNING_JOB).visible_state is JobState.CANCELLED


# An append over the limit of a call was never taken by the store.
@pytest.mark.parametrize("max_call_bytes", [12_000, 40_000])
def test_no_append_is_larger_than_the_store_takes(make_harness, max_call_bytes):
    harness = make_harness()
    harness.record_limits = RecordLimits(
        max_record_bytes=10_000, max_call_bytes=max_call_bytes
    )
    harness.take_over()
    submit_more_than_fits_one_append(harness)
    journal = harness.cell.journal
    for number in range(1_000):
        journal.put(f"l{number}/a", b"x" * 50)
    journal.after("grant")
    journal.drop_keys([f"j{number:016x}" for number in range(10_000, 12_000)])
    granted = []
    while not journal.is_empty:
        batch = journal.take(harness.now)
        granted += batch.effects
        assert batch.records
        sizes = [4 + 1 + len(key) + len(value) for key, value in batch.records]
        assert sum(sizes) <= max_call_bytes
        if any(key.startswith("l") for key, _ in batch.records):
            assert "grant" not in granted
    assert "grant" in granted


def test_loan_is_stored_before_all_runs(harness):
    submit_more_than_fits_one_append(harness)
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    batch = journal.take(harness.now)
    keys = [key for key, _ in batch.records]
    first_of_a_job = min(keys.index(key) for key in keys if key[0] in "jp")
    assert ("l1/a", b"[]") in batch.records[:first_of_a_job] and not journal.is_empty


def test_unstored_loan_is_stored_with_its_latest_value(harness):
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    journal.put("l2/a", b"")
    batch = journal.take(harness.now)
    journal.put("l1/a", b"[1]")
    journal.put_back(batch)
    assert dict(journal.take(harness.now).records) == {"l1/a": b"[1]", "l2/a": b""}
    assert journal.is_empty


def test_grant_waits_until_its_loan_is_stored(harness):
    journal = harness.cell.journal
    journal.put("l1/a", b"[]")
    journal.after("grant")
    batch = journal.take(harness.now)
    assert batch.effects == ["grant"] and dict(batch.records) == {"l1/a": b"[]"}
