"""Reservations for gangs and large tasks among many small ones."""

from .harness import job_spec

JOB = "00000000000000aa"
SINGLE = {"count": 1, "cpu_milli": 1_000, "estimated_ms": 800}
PERIOD_MS = 220


def submit_stream(harness, *, for_ms, **fields):
    """Submit a single task per period, so that some are always running."""
    for number in range(int(for_ms / PERIOD_MS)):
        harness.submit(f"{int(harness.now):08x}{number:08x}", job_spec(SINGLE | fields))
        harness.run(PERIOD_MS)


def gang_starts(harness):
    return [harness.starts_of(f"{JOB}.0.0.{index}") for index in range(2)]


def test_gang_is_not_starved_by_single_tasks(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    submit_stream(harness, for_ms=2_000)
    wide_gang = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(JOB, job_spec(wide_gang))
    submit_stream(harness, for_ms=6_000)
    assert all(gang_starts(harness))


def test_short_tasks_are_backfilled(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    long = {"count": 2, "cpu_milli": 1_000, "estimated_ms": 6_000}
    harness.submit("b" * 16, job_spec(long, long))
    harness.run(500)
    for worker in harness.workers.values():
        worker.work_ms = 800.0
    wide_gang = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(JOB, job_spec(wide_gang))
    harness.run(2_500)
    harness.submit("c" * 16, job_spec(SINGLE))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")
    assert not any(gang_starts(harness))


def test_gang_that_never_fits_blocks_no_others(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    wide_gang = {"count": 3, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(JOB, job_spec(wide_gang))
    harness.run(3_000)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 60_000}))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")


def do_others_starve(harness):
    """Let a gang wait for a reservation; return whether other tasks starve."""
    wide_gang = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(JOB, job_spec(wide_gang))
    harness.run(6_000)
    assert not any(gang_starts(harness))
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 60_000}))
    harness.run(3_000)
    return not harness.starts_of(f"{'c' * 16}.0.0.0")


def test_workers_on_probation_are_not_reserved_for_gang(make_harness):
    """Guards against reserving workers that may be faulty for a gang.

    The gang uses them without a reservation, and other tasks don't starve.
    """
    harness = make_harness(workers=2, cpu_milli=3_000)
    harness.run(50)
    for worker in harness.cell.context.workers.values():
        worker.health.on_probation = True
    wide_gang = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(JOB, job_spec(wide_gang))
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 60_000}))
    harness.run(3_000)
    assert harness.counts["gang"] == 0
    assert all(gang_starts(harness))
    assert harness.starts_of(f"{'c' * 16}.0.0.0")


def test_overdue_reservation_is_released(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    harness.run(50)
    harness.cell.placer._place_gang = lambda step, workers, now_ms: None
    assert not do_others_starve(harness)
    assert harness.counts["given_up"] >= 1


LARGE = {"count": 1, "cpu_milli": 3_000, "estimated_ms": 800}


def test_large_task_is_not_starved_by_small_ones(make_harness):
    harness = make_harness(workers=1, cpu_milli=3_000)
    submit_stream(harness, for_ms=1_000)
    harness.submit(JOB, job_spec(LARGE | {"estimated_ms": 400}))
    harness.job(JOB).objective_ms = harness.now + 1_750
    submit_stream(harness, for_ms=2_500)
    assert harness.starts_of(f"{JOB}.0.0.0")


def test_late_large_task_gets_no_reservation(make_harness):
    """Guards against idle reserved workers under overload."""
    harness = make_harness(workers=1, cpu_milli=3_000)
    submit_stream(harness, for_ms=1_000)
    harness.submit(JOB, job_spec(LARGE))
    harness.job(JOB).objective_ms = harness.now
    harness.run(300)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 9_000}))
    harness.run(100)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")


def occupy_workers(harness, cpu_milli):
    """Occupy each worker with one long task."""
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    count = len(harness.workers)
    step = {"count": count, "cpu_milli": cpu_milli, "estimated_ms": 6_000}
    harness.submit("b" * 16, job_spec(step))
    harness.run(500)
    for worker in harness.workers.values():
        worker.work_ms = 800.0


def test_large_tasks_of_several_jobs_get_reservations(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    occupy_workers(harness, 2_000)
    for job_id in (JOB, "d" * 16):
        harness.submit(job_id, job_spec(LARGE), queue="batch")
    harness.run(400)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 9_000}), queue="batch")
    harness.run(400)
    assert not harness.starts_of(f"{'c' * 16}.0.0.0")
    harness.run(8_000)
    assert harness.starts_of(f"{JOB}.0.0.0") and harness.starts_of(f"{'d' * 16}.0.0.0")


def test_more_urgent_step_uses_reserved_worker(make_harness):
    harness = make_harness(workers=1, cpu_milli=3_000)
    occupy_workers(harness, 2_000)
    harness.submit(JOB, job_spec(LARGE), queue="batch")
    harness.run(400)
    harness.submit("c" * 16, job_spec(SINGLE))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")
