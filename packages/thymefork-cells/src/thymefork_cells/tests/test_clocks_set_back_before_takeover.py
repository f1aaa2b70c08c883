"""Guards against workers that a new owner ignores since their start seems too early."""

import pytest
from attrs import evolve

from thymefork_cells.state import JobState

from .harness import job_spec

FIRST_JOB = "00000000000000aa"
JOB = "00000000000000bb"
STEP = {"count": 1, "cpu_milli": 1_000}


# A new owner compared the listed start time with a stored one and took the older life.
@pytest.mark.parametrize("set_back_ms", [0, 1_000, 60_000])
def test_worker_is_used_after_its_clock_was_set_back(make_harness, set_back_ms):
    harness = make_harness(workers=1)
    harness.submit(FIRST_JOB, job_spec(STEP))
    harness.run(2_500)
    (worker,), (entry,) = harness.workers.values(), harness.entries
    harness.is_owner_down = True
    worker.end_incarnation(harness.now)
    worker.begin_incarnation(harness.now)
    if set_back_ms:
        worker.born_epoch_ms = entry.born_epoch_ms - set_back_ms
    harness.entries = [evolve(entry, born_epoch_ms=worker.born_epoch_ms)]
    harness.run(1_000)
    harness.take_over()
    harness.submit(JOB, job_spec(STEP))
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
