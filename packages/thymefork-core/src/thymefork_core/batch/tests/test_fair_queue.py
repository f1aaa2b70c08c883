"""The order of queued work."""

from thymefork_core.batch import FairQueue
from thymefork_core.model import Resources, WorkKind, WorkSpec


def make(work_id, team="a", run_ms=100, **fields):
    return WorkSpec(
        work_id=work_id,
        kind=WorkKind.TASK,
        team=team,
        resources=Resources(cpu_milli=1000, memory_mb=100),
        submitted_at_ms=0,
        deadline_ms=1,
        run_ms=run_ms,
        **fields,
    )


def order(queue, **shares):
    return [s.work_id for s in queue.in_order(lambda t: shares.get(t, 0.0), 100)]


def test_urgent_work_goes_first_then_the_team_with_the_smallest_share():
    queue = FairQueue()
    queue.add(make("full", "full"))
    queue.add(make("idle", "idle"))
    queue.add(make("now", "full", urgent=True))
    assert order(queue, full=0.9, idle=0.1) == ["now", "idle", "full"]


def test_a_team_at_its_quota_is_passed_over():
    queue = FairQueue()
    queue.add(make("blocked", "full"))
    assert order(queue, full=1.0) == []


def test_small_work_passes_large_work_for_a_bounded_time_only():
    queue = FairQueue()
    queue.add(make("large", run_ms=10_000), 0)
    queue.add(make("small", run_ms=10), 1000)
    queue.add(make("late", run_ms=10), 60_000)
    assert order(queue) == ["small", "large", "late"]


def test_a_wave_of_cancellations_is_linear():
    queue = FairQueue()
    for index in range(20_000):
        queue.add(make(f"w{index}"), index)
    for index in range(19_999):
        queue.remove(f"w{index}")
    assert order(queue) == ["w19999"]
    assert len(queue) == 1


def test_work_that_comes_back_stands_in_line_once():
    queue = FairQueue()
    queue.add(make("x"))
    queue.remove("x")
    queue.add(make("x"))
    assert order(queue) == ["x"]
