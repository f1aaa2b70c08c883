"""Several appends of a cell in flight, and their failure."""

import pytest

from thymefork_cells.effects import Outcome, StartRun
from thymefork_cells.jobs import journal as journal_module
from thymefork_cells.jobs.codec import PROGRESS_KEY
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "a" * 16
OTHER = "b" * 16
STEP = {"count": 2, "cpu_milli": 500}


class Appends:
    """Carry out a cell's appends under the control of a test."""

    def __init__(self, harness):
        self._harness = harness
        harness.appending = True  # keeps the harness from sending its own
        self.in_flight = []

    def send(self):
        batch = self._harness.cell.journal.take(self._harness.now)
        self.in_flight.append(batch)
        return batch

    def store_first(self):
        batch = self.in_flight.pop(0)
        for key, value in batch.records:
            if value:
                self._harness.store[key] = value
            else:
                self._harness.store.pop(key, None)
        self._harness.cell.on_stored(batch)
        for effect in batch.effects:
            self._harness._perform(self._harness.cell, effect)

    def fail_all(self):
        while self.in_flight:
            batch = self.in_flight.pop()
            self._harness.cell.on_not_stored(batch, now_ms=self._harness.now)

    def stop(self):
        self._harness.appending = False


@pytest.fixture
def appends(harness):
    harness.run(100)
    return Appends(harness)


def start_commands(batch):
    return [effect for effect in batch.effects if isinstance(effect, StartRun)]


def submit_and_send(harness, appends):
    """Send the append of a job's spec, then that of its start intents."""
    harness.submit(JOB, job_spec(STEP))
    first = appends.send()
    harness.run(100)
    second = appends.send()
    assert not start_commands(first) and len(start_commands(second)) == 2
    return first, second


def test_job_is_accepted_and_started_in_append_order(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    harness.run(100)
    assert not harness.starts_of(f"{JOB}.0.0.0")
    assert harness.job(JOB).visible_state is JobState.QUEUED
    appends.store_first()
    harness.run(100)
    assert harness.starts_of(f"{JOB}.0.0.0")
    assert harness.job(JOB).visible_state is JobState.RUNNING


def test_new_job_of_failed_append_is_refused(harness, appends):
    submit_and_send(harness, appends)
    appends.fail_all()
    appends.stop()
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.REFUSED
    assert not harness.starts_of(f"{JOB}.0.0.0")
    assert not [key for key in harness.store if key.endswith(JOB)]
    harness.submit(JOB, job_spec(STEP))
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_only_unstored_changes_are_requeued(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    appends.fail_all()
    appends.stop()
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_latest_state_of_job_in_several_batches_is_stored(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    appends.send()
    appends.fail_all()
    batch = appends.send()
    assert [key for key, _ in batch.records].count(PROGRESS_KEY + JOB) == 1
    appends.store_first()
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.take_over()
    assert harness.job(JOB).state is JobState.CANCELLED


def test_newer_change_is_kept_over_requeued_ones(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    appends.fail_all()
    appends.send()
    appends.store_first()
    harness.take_over()
    assert harness.job(JOB).state is JobState.CANCELLED
    assert not harness.starts_of(f"{JOB}.0.0.0")


def test_effect_waits_for_requeued_records_before_it(harness, appends, monkeypatch):
    """Guards against an effect that is released when only some records fit again."""
    for job_id in (JOB, OTHER):
        harness.submit(job_id, job_spec(STEP))
    appends.send()
    appends.store_first()
    journal = harness.cell.journal
    for job_id in (JOB, OTHER):
        journal.mark_changed(harness.job(job_id))
    appends.send()
    journal.after("told")
    assert appends.send().effects == ["told"]
    appends.fail_all()
    monkeypatch.setattr(journal_module, "MAX_BATCH_BYTES", 0)
    harness.job(JOB).state = harness.job(OTHER).state = JobState.RUNNING
    assert "told" not in appends.send().effects
    assert "told" in appends.send().effects
