"""Store outages and what an owner may do during them."""

import pytest

from thymefork_cells.effects import Outcome
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"


def test_next_owner_without_quorum_waits_for_whole_outage(make_harness):
    harness = make_harness(workers=4)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 8_000}))
    harness.run(300)
    harness.is_owner_down = True
    for worker_id in ("w0", "w1", "w2"):
        harness.workers[worker_id].is_unreachable = True
    harness.run(500)
    harness.take_over()
    harness.run(10_000)
    assert harness.cell.context.workers["w0"].runs
    harness.run(4_000)
    assert not harness.cell.context.workers["w0"].runs


@pytest.mark.parametrize("unlisted_after_ms", [10, 1_500])
def test_unlisted_workers_count_for_the_quorum(make_harness, unlisted_after_ms):
    """Guards against a quorum of the few workers that are still listed.

    The previous owner may still renew leases on the unlisted ones.
    """
    harness = make_harness(workers=4)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 8_000}))
    harness.run(300)
    harness.is_owner_down = True
    for worker_id in ("w0", "w1", "w2"):
        harness.workers[worker_id].is_unreachable = True
    harness.run(500)
    harness.take_over()
    harness.run(unlisted_after_ms)
    harness.load_worker_list(
        [entry for entry in harness.entries if entry.worker_id == "w3"]
    )
    harness.run(10_000 - unlisted_after_ms)
    assert harness.runs_of("w0")
    harness.run(4_000)
    assert not harness.runs_of("w0")


def test_unstored_job_is_refused_and_never_runs(harness):
    harness.store_down = True
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(40)
    assert harness.replies[JOB].outcome is Outcome.REFUSED
    harness.store_down = False
    harness.run(2_000)
    assert not harness.starts_of(f"{JOB}.0.0.0")
    assert JOB not in harness.cell.context.jobs


def test_runs_continue_in_outage_beside_ended_task(make_harness):
    """Guards against leases that expire because an unstored end suspends polling."""
    harness = make_harness(workers=1)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 100, "estimated_ms": 800}))
    harness.run(100)
    harness.workers["w0"].work_ms = 6_000.0
    long = {"count": 1, "cpu_milli": 100, "estimated_ms": 6_000}
    harness.submit("b" * 16, job_spec(long))
    harness.run(100)
    harness.run_store_outage(for_ms=7_000)
    harness.run(500)
    assert harness.job("b" * 16).visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{'b' * 16}.0.0.0")) == 1


def test_start_with_expired_ticket_is_not_sent(make_harness):
    """Guards against starts that are refused after an outage."""
    advice = {"decision_ms": 50, "per_worker_ms": 1, "valid_ms": 2_500}
    harness = make_harness(workers=2, advice=advice)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 100}))
    harness.run(40)
    harness.run_store_outage(for_ms=4_000)
    assert not harness.starts_of(f"{JOB}.0.0.0")
    harness.run(40)
    assert harness.counts["ticket_lapsed"] == 1
    assert not harness.starts_of(f"{JOB}.0.0.0")
    harness.run(200)
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_answers_read_late_form_no_quorum(make_harness):
    harness = make_harness(workers=4)
    harness.run(2_000)
    harness.take_over()
    harness.run(50)
    cell = harness.cell
    assert cell.quorum.is_held(harness.now)
    paused_until_ms = harness.now + 4_000.0
    for worker in cell.context.workers.values():
        report = harness.workers[worker.worker_id].poll(
            worker.fence(2), 0, 0, harness.now
        )
        cell.poller.on_report(worker, report, 0, now_ms=paused_until_ms)
    assert not cell.quorum.is_held(paused_until_ms)


def test_runs_continue_while_only_appends_fail(make_harness):
    """Guards against expired leases if an available store refuses appends."""
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 600_000.0
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 100, "long_running": True}))
    harness.run(100)
    harness.workers["w0"].work_ms = 300.0
    harness.submit("b" * 16, job_spec({"count": 1, "cpu_milli": 100}))
    harness.run(100)
    harness.store_down = True
    harness.run(5_000)
    assert (f"{JOB}.0.0.0", 1) in harness.running()
