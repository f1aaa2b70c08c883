"""Several batches of a cell under way, and given back because the store failed."""

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
    """Carry a cell's appends out when the test says so."""

    def __init__(self, harness):
        self._harness = harness
        harness.appending = True  # the harness sends none of its own
        self.under_way = []

    def send(self):
        batch = self._harness.cell.journal.take(self._harness.now)
        self.under_way.append(batch)
        return batch

    def store_first(self):
        batch = self.under_way.pop(0)
        for key, value in batch.records:
            if value:
                self._harness.store[key] = value
            else:
                self._harness.store.pop(key, None)
        self._harness.cell.on_stored(batch)
        for effect in batch.effects:
            self._harness._perform(self._harness.cell, effect)

    def give_back(self):
        while self.under_way:
            batch = self.under_way.pop()
            self._harness.cell.on_not_stored(batch, now_ms=self._harness.now)

    def leave(self):
        self._harness.appending = False


@pytest.fixture
def appends(harness):
    harness.run(100)
    return Appends(harness)


def starts(batch):
    return [effect for effect in batch.effects if isinstance(effect, StartRun)]


def submit_and_send(harness, appends):
    """Have a job's description and the intents of its starts under way, apart."""
    harness.submit(JOB, job_spec(STEP))
    first = appends.send()
    harness.run(100)
    second = appends.send()
    assert not starts(first) and len(starts(second)) == 2
    return first, second


def test_a_job_is_told_and_started_in_the_order_of_its_appends(harness, appends):
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


def test_a_new_job_that_comes_back_is_refused_and_never_starts(harness, appends):
    submit_and_send(harness, appends)
    appends.give_back()
    appends.leave()
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.REFUSED
    assert not harness.starts_of(f"{JOB}.0.0.0")
    assert not [key for key in harness.store if key.endswith(JOB)]
    harness.submit(JOB, job_spec(STEP))
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_only_what_was_not_stored_comes_back(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    appends.give_back()
    appends.leave()
    harness.run(2_000)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_of_a_job_in_several_batches_the_newest_is_stored(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    appends.send()
    appends.give_back()
    batch = appends.send()
    assert [key for key, _ in batch.records].count(PROGRESS_KEY + JOB) == 1
    appends.store_first()
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.take_over()
    assert harness.job(JOB).state is JobState.CANCELLED


def test_a_newer_change_outlasts_older_ones_that_come_back(harness, appends):
    submit_and_send(harness, appends)
    appends.store_first()
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    appends.give_back()
    appends.send()
    appends.store_first()
    harness.take_over()
    assert harness.job(JOB).state is JobState.CANCELLED
    assert not harness.starts_of(f"{JOB}.0.0.0")


def test_an_effect_without_records_waits_for_what_came_back_before_it(
    harness, appends, monkeypatch
):
    """Too large for one append again, the first holds the effect of the second."""
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
    appends.give_back()
    monkeypatch.setattr(journal_module, "MAX_BATCH_BYTES", 0)
    harness.job(JOB).state = harness.job(OTHER).state = JobState.RUNNING
    assert "told" not in appends.send().effects
    assert "told" in appends.send().effects
