"""Gangs and large tasks among small ones that take every piece of room."""

from .harness import job_spec

GANG = "00000000000000aa"
SINGLE = {"count": 1, "cpu_milli": 1_000, "estimated_ms": 800}
PERIOD_MS = 220


def stream(harness, *, for_ms, **fields):
    """Submit a single task each period, so that some are always running."""
    for number in range(int(for_ms / PERIOD_MS)):
        harness.submit(f"{int(harness.now):08x}{number:08x}", job_spec(SINGLE | fields))
        harness.run(PERIOD_MS)


def gang_starts(harness):
    return [harness.starts_of(f"{GANG}.0.0.{index}") for index in range(2)]


def test_a_wide_gang_is_not_starved_by_single_tasks(make_harness):
    """From cab-bogota-grown, trouble-3: a gang waited 34 s beside free room (LOST)."""
    harness = make_harness(workers=2, cpu_milli=3_000)
    stream(harness, for_ms=2_000)
    wide = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(GANG, job_spec(wide))
    stream(harness, for_ms=6_000)
    assert all(gang_starts(harness))


def test_tasks_that_end_before_the_gang_could_start_are_let_in(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    long = {"count": 2, "cpu_milli": 1_000, "estimated_ms": 6_000}
    harness.submit("b" * 16, job_spec(long, long))
    harness.run(500)
    for worker in harness.workers.values():
        worker.work_ms = 800.0
    wide = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(GANG, job_spec(wide))
    harness.run(2_500)
    harness.submit("c" * 16, job_spec(SINGLE))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")
    assert not any(gang_starts(harness))


def test_a_gang_that_can_never_fit_keeps_nothing_from_others(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    wide = {"count": 3, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(GANG, job_spec(wide))
    harness.run(3_000)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 60_000}))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")


def reserved_beside(harness):
    """Let a gang wait until workers are kept for it; return whether others starve."""
    wide = {"count": 2, "cpu_milli": 3_000, "estimated_ms": 800, "gang": True}
    harness.submit(GANG, job_spec(wide))
    harness.run(6_000)
    assert not any(gang_starts(harness))
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 60_000}))
    harness.run(3_000)
    return not harness.starts_of(f"{'c' * 16}.0.0.0")


def test_workers_on_probation_are_not_kept_for_a_gang(make_harness):
    """From cab-bogota-grown, inc-412f (LOST): a gang takes none, so it kept them."""
    harness = make_harness(workers=2, cpu_milli=3_000)
    harness.run(50)
    for worker in harness.cell.context.workers.values():
        worker.health.on_probation = True
    assert not reserved_beside(harness)


def test_workers_are_given_back_where_the_gang_lacks_something_else(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    harness.run(50)
    harness.cell.placer._place_gang = lambda step, workers, now_ms: None
    assert not reserved_beside(harness)
    assert harness.counts["given_up"] >= 1


LARGE = {"count": 1, "cpu_milli": 3_000, "estimated_ms": 800}


def test_a_task_as_large_as_a_worker_is_not_starved_by_small_ones(make_harness):
    """From ferrecor-mvd: such a task waited 18 s for one of the workers allowed."""
    harness = make_harness(workers=1, cpu_milli=3_000)
    stream(harness, for_ms=1_000)
    harness.submit(GANG, job_spec(LARGE | {"estimated_ms": 400}))
    harness.job(GANG).objective_ms = harness.now + 1_750
    stream(harness, for_ms=2_500)
    assert harness.starts_of(f"{GANG}.0.0.0")


def test_no_room_is_kept_for_a_large_task_that_is_late_anyway(make_harness):
    """From an overload of twice what the workers bear: all room was kept idle."""
    harness = make_harness(workers=1, cpu_milli=3_000)
    stream(harness, for_ms=1_000)
    harness.submit(GANG, job_spec(LARGE))
    harness.job(GANG).objective_ms = harness.now
    harness.run(300)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 9_000}))
    harness.run(100)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")


def occupy(harness, cpu_milli):
    """Let each worker run one task for long."""
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    count = len(harness.workers)
    step = {"count": count, "cpu_milli": cpu_milli, "estimated_ms": 6_000}
    harness.submit("b" * 16, job_spec(step))
    harness.run(500)
    for worker in harness.workers.values():
        worker.work_ms = 800.0


def test_large_tasks_of_several_jobs_have_room_kept_at_a_time(make_harness):
    harness = make_harness(workers=2, cpu_milli=3_000)
    occupy(harness, 2_000)
    for job_id in (GANG, "d" * 16):
        harness.submit(job_id, job_spec(LARGE), queue="batch")
    harness.run(400)
    harness.submit("c" * 16, job_spec(SINGLE | {"estimated_ms": 9_000}), queue="batch")
    harness.run(400)
    assert not harness.starts_of(f"{'c' * 16}.0.0.0")
    harness.run(8_000)
    assert harness.starts_of(f"{GANG}.0.0.0") and harness.starts_of(f"{'d' * 16}.0.0.0")


def test_a_more_urgent_step_takes_what_is_kept_for_another(make_harness):
    harness = make_harness(workers=1, cpu_milli=3_000)
    occupy(harness, 2_000)
    harness.submit(GANG, job_spec(LARGE), queue="batch")
    harness.run(400)
    harness.submit("c" * 16, job_spec(SINGLE))
    harness.run(300)
    assert harness.starts_of(f"{'c' * 16}.0.0.0")
