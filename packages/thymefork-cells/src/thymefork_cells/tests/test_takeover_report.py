"""One log line a takeover that says what became of the runs found in the store."""

from .harness import job_spec
from .test_run_ends_in_outages import (
    JOB,
    TWO_STEPS,
    announce_departure,
    begin_outage,
    end_workers,
    replace_owner,
)


def reports(harness):
    return [note.fields for note in harness.notes if note.event == "takeover_settled"]


def test_report_tells_heard_ends_from_lost_runs(make_harness):
    harness = make_harness(workers=6)
    harness.workers["w0"].work_ms = 60_000.0
    harness.submit(JOB, job_spec(*TWO_STEPS))
    harness.run(100)
    announce_departure(harness, ("w0", "w1"), leaves_in_ms=4_000)
    begin_outage(harness)
    harness.run(2_000)
    end_workers(harness, ("w0", "w1"))
    harness.run(300)
    replace_owner(harness)
    assert not reports(harness)
    harness.run(6_000)
    (report,) = reports(harness)
    assert report["runs"] == 4
    assert report["ends_inherited"] == 3
    assert report["lease_over"] + report["lease_over_leaving"] == 1
    assert report["unknown"] == 0


def test_first_owner_has_nothing_to_report(make_harness):
    harness = make_harness(workers=2)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(20_000)
    assert not reports(harness)
