"""A store that never takes one record, or for a while takes none.

It refuses an append as a whole, and does not say for which of its records.
"""

import pytest
from attrs import evolve

from thymefork_cells.effects import Outcome
from thymefork_cells.specs import RecordLimits
from thymefork_cells.state import JobState

from .harness import job_spec
from .run_invariants import tasks_run_twice

BAD, STEP = "bad0" * 4, {"count": 2, "cpu_milli": 100}
OTHERS = [f"{number:016x}" for number in range(20)]


def submit_all(harness, job_ids):
    for job_id in job_ids:
        harness.submit(job_id, job_spec(STEP))


def states(harness, job_ids):
    jobs = harness.cell.context.jobs
    return {jobs[job_id].visible_state for job_id in job_ids if job_id in jobs}


def refused_notes(harness):
    return [note.fields for note in harness.notes if note.event == "record_refused"]


# One record that the store refused stopped all jobs of its cell for good.
@pytest.mark.parametrize("kind", ["p", "j"])
@pytest.mark.parametrize("position", [0, 7, 20])
def test_other_jobs_go_on_beside_a_record_that_is_refused(harness, kind, position):
    harness.refuses_record = lambda key: key == f"{kind}{BAD}"
    submit_all(harness, [*OTHERS[:position], BAD, *OTHERS[position:]])
    harness.run(5_000)
    assert states(harness, OTHERS) == {JobState.SUCCEEDED}
    assert not harness.starts_of(f"{BAD}.0.0.0")
    note = refused_notes(harness)[0]
    assert note["job"] == BAD
    sizes = dict(note["records"])
    assert sizes[f"{kind}{BAD}"] > len(BAD)
    later = [f"f{number:015x}" for number in range(5)]
    submit_all(harness, later)
    harness.run(3_000)
    assert states(harness, later) == {JobState.SUCCEEDED}


# A caller waited for its deadline though its job could not be stored.
def test_caller_of_a_refused_new_job_is_told_at_once(harness):
    harness.refuses_record = lambda key: key == f"j{BAD}"
    submit_all(harness, [*OTHERS, BAD])
    harness.run(500)
    assert harness.replies[BAD].outcome is Outcome.REFUSED
    assert BAD not in harness.cell.context.jobs
    accepted = {harness.replies[job_id].outcome for job_id in OTHERS}
    assert accepted == {Outcome.ACCEPTED}


def accept_before_starts(harness, job_ids):
    """Let jobs be accepted and stored before any of their tasks can start."""
    for draining in (True, False):
        harness.publish_worker_list(
            [evolve(entry, draining=draining) for entry in harness.entries]
        )
        if draining:
            submit_all(harness, job_ids)
            harness.run(100)


# A job must not stay stopped once its record is taken after all.
def test_job_goes_on_once_its_record_is_taken(harness):
    harness.refuses_record = lambda key: key == f"p{BAD}"
    accept_before_starts(harness, [*OTHERS, BAD])
    harness.run(3_000)
    assert states(harness, OTHERS) == {JobState.SUCCEEDED}
    assert not harness.starts_of(f"{BAD}.0.0.0")
    harness.refuses_record = lambda key: False
    harness.run(12_000)
    assert states(harness, [BAD]) == {JobState.SUCCEEDED}
    assert not tasks_run_twice(harness)


# An accepted job's cancel is answered, even if its record is refused.
def test_caller_who_cancels_a_refused_job_is_answered(harness):
    harness.refuses_record = lambda key: key == f"p{BAD}"
    accept_before_starts(harness, [*OTHERS, BAD])
    harness.run(1_000)
    harness.cell.intake.cancel("cancel", BAD, now_ms=harness.now)
    harness.run(500)
    assert harness.replies["cancel"].outcome is Outcome.REFUSED
    assert states(harness, OTHERS) == {JobState.SUCCEEDED}


# A start whose intent is not stored may run twice after a change of owner.
def test_refused_job_is_started_by_its_next_owner_alone(harness):
    harness.refuses_record = lambda key: key == f"p{BAD}"
    accept_before_starts(harness, [*OTHERS, BAD])
    harness.run(1_000)
    assert not harness.starts_of(f"{BAD}.0.0.0")
    harness.is_owner_down = True
    harness.refuses_record = lambda key: False
    harness.run(300)
    harness.take_over()
    harness.run(5_000)
    assert states(harness, [*OTHERS, BAD]) == {JobState.SUCCEEDED}
    assert not tasks_run_twice(harness)


# The store may take fewer records at once than the settings say.
def test_appends_that_are_taken_in_halves_only_lose_nothing(harness):
    refuses = harness._refuses
    harness._refuses = lambda batch: len(batch.records) > 9 or refuses(batch)
    submit_all(harness, OTHERS)
    harness.run(6_000)
    assert states(harness, OTHERS) == {JobState.SUCCEEDED}
    assert not refused_notes(harness)
    assert not tasks_run_twice(harness)


# A store that takes nothing must not look like one that refuses single records.
@pytest.mark.parametrize("refused_for_ms", [300, 4_000])
def test_nothing_is_lost_while_the_store_takes_nothing(harness, refused_for_ms):
    submit_all(harness, OTHERS[:10])
    harness.run(400)
    assert harness.running()
    harness.refuses_record = lambda key: True
    submit_all(harness, OTHERS[10:])
    harness.run(refused_for_ms)
    assert not any(
        run.is_acknowledged
        for worker in harness.workers.values()
        for run in worker.history
    )
    harness.refuses_record = lambda key: False
    harness.run(5_000)
    assert states(harness, OTHERS[:10]) == {JobState.SUCCEEDED}
    refused = [job for job in OTHERS[10:] if job not in harness.cell.context.jobs]
    assert {harness.replies[job].outcome for job in refused} <= {Outcome.REFUSED}
    assert not tasks_run_twice(harness)


# A loan that was given up because nothing was taken would be granted twice.
@pytest.mark.parametrize("refuses_all", [True, False])
def test_other_record_is_dropped_only_if_the_store_takes_others(harness, refuses_all):
    harness.refuses_record = lambda key: refuses_all or key == "l1/a"
    harness.cell.journal.put("l1/a", b"[1]")
    harness.run(1_000)
    harness.refuses_record = lambda key: False
    submit_all(harness, OTHERS[:3])
    harness.run(3_000)
    assert ("l1/a" in harness.store) is refuses_all
    assert states(harness, OTHERS[:3]) == {JobState.SUCCEEDED}


# The store may take less than the settings say.
def test_large_job_goes_on_without_checkpoints_that_are_refused(make_harness):
    harness = make_harness(workers=4)
    known = RecordLimits(max_record_bytes=262_144)
    for worker in harness.workers.values():
        worker.work_ms = 3_000.0
        worker.checkpoint = "c" * 900
    harness.record_limits = known
    harness.take_over()
    harness.run(50)
    harness.record_limits = RecordLimits(max_record_bytes=17_000)
    spec = job_spec({"count": 400, "cpu_milli": 10, "checkpoints": True})
    harness.submit(BAD, spec)
    harness.run(1_000)
    harness.workers["w0"].fail_running(harness.now)
    submit_all(harness, OTHERS)
    harness.run(8_000)
    assert states(harness, [*OTHERS, BAD]) == {JobState.SUCCEEDED}
