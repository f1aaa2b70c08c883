"""Urgent work, large jobs, wrong sizes and bad workers, on virtual time."""

from thymefork_core.model import Outcome, Resources, WorkKind
from thymefork_core.node import messages as m

from .conftest import CPU_MILLI, make_spec

WHOLE = Resources(cpu_milli=CPU_MILLI, memory_mb=100)
URGENT_WITHIN_MS = 6000


def send(world, name, work_id, **fields):
    spec = make_spec(world, work_id, **fields)
    world.tell(name, m.SubmitRequest(request_id=work_id, specs=(spec,)))


def first_start_ms(world, work_id):
    starts = [
        at_ms
        for worker in world.workers.values()
        for at_ms, attempt_id in worker.starts
        if attempt_id.startswith(f"{work_id}/")
    ]
    return min(starts, default=None)


def outcomes(world, *work_ids):
    return [world.answers[w][0].outcome for w in work_ids]


def test_urgent_work_starts_in_time_on_a_full_hall(world):
    for index in range(12):
        send(world, "h-1", f"fill{index}", run_ms=20_000)
    world.run(2000)
    sent_ms = world.now_ms
    send(world, "h-2", "now", urgent=True, resources=WHOLE)
    world.run(URGENT_WITHIN_MS)
    assert first_start_ms(world, "now") - sent_ms <= URGENT_WITHIN_MS
    world.run(60_000)
    assert world.breaches() == [] and world.doubles == []
    assert set(outcomes(world, *[f"fill{i}" for i in range(12)], "now")) <= {
        Outcome.DONE,
        Outcome.UNKNOWN,
    }


def test_urgent_work_throttles_before_it_stops(world):
    send(world, "h-1", "slow", resources=WHOLE, run_ms=4000)
    send(world, "h-1", "slow2", resources=WHOLE, run_ms=4000)
    send(world, "h-1", "slow3", resources=WHOLE, run_ms=4000)
    world.run(1000)
    send(world, "h-1", "now", urgent=True)
    world.run(3000)
    assert first_start_ms(world, "now") is not None
    world.run(20_000)
    for work_id in ("slow", "slow2", "slow3"):
        assert world.starts_of(work_id) == [f"{work_id}/0/1"]
    assert world.breaches() == []


def test_work_that_must_not_be_repeated_is_never_stopped_for_urgent_work(world):
    for index in range(3):
        send(
            world,
            "h-1",
            f"once{index}",
            resources=WHOLE,
            run_ms=9000,
            at_most_once=True,
        )
    world.run(1000)
    send(world, "h-1", "now", urgent=True, resources=WHOLE)
    world.run(25_000)
    assert outcomes(world, "once0", "once1", "once2") == [Outcome.DONE] * 3


def test_preempted_work_is_not_counted_as_failed(world):
    for index in range(3):
        send(world, "h-1", f"fill{index}", resources=WHOLE, run_ms=3000)
    for index in range(5):
        world.run(1500)
        send(world, "h-2", f"now{index}", urgent=True, resources=WHOLE, run_ms=500)
    world.run(40_000)
    assert outcomes(world, "fill0", "fill1", "fill2") == [Outcome.DONE] * 3


def test_a_large_job_is_not_starved_by_small_work(world):
    """Without a reservation the stream of small work never leaves room for it."""

    def keep_sending(index):
        send(
            world, "h-1", f"small{index}", run_ms=2500, deadline_ms=world.now_ms + 10**6
        )
        if index < 300:
            world.after(150, lambda: keep_sending(index + 1))

    keep_sending(0)
    world.run(2500)
    deadline_ms = world.now_ms + 10**6
    send(
        world,
        "h-2",
        "gang",
        kind=WorkKind.JOB,
        tasks=3,
        resources=WHOLE,
        deadline_ms=deadline_ms,
    )
    sent_ms = world.now_ms
    world.run(45_000)
    started_ms = first_start_ms(world, "gang")
    assert started_ms is not None
    assert started_ms - sent_ms < 25_000
    assert world.breaches() == []


def test_a_worker_that_fails_everything_is_quarantined_and_probed(world):
    bad = next(iter(world.workers.values()))
    bad.fails_all = True
    for index in range(30):
        world.after(index * 200, lambda i=index: send(world, "h-1", f"t{i}"))
    world.run(30_000)
    assert len(bad.starts) < 12
    assert outcomes(world, *[f"t{i}" for i in range(30)]) == [Outcome.DONE] * 30
    assert all(world.answers[f"t{i}"][0].exit_codes == (0,) for i in range(30))
    bad.fails_all = False
    before = len(bad.starts)
    for index in range(40):
        world.after(index * 300, lambda i=index: send(world, "h-1", f"u{i}", tasks=6))
    world.run(30_000)
    assert len(bad.starts) > before + 5


def test_a_bad_task_does_not_put_good_workers_into_quarantine(world):
    send(world, "h-1", "bad", payload="fail")
    world.run(10_000)
    assert world.answers["bad"][0].exit_codes == (1,)
    for node in world.nodes.values():
        assert all(v.health.until_ms == 0 for v in node.ctx.book.views.values())


def test_sizes_that_are_too_small_are_learned_from_usage(world):
    worker = next(iter(world.workers.values()))
    node = next(n for n in world.nodes.values() if n.ctx.owns(worker.name))
    name = node.ctx.name
    send(world, name, "grows", run_ms=20_000)
    world.run(1000)
    place = next(w for w in world.workers.values() if w.running)
    node = next(n for n in world.nodes.values() if n.ctx.owns(place.name))
    (attempt_id,) = place.running
    place.peak_memory_mb = {attempt_id: 6000}
    world.run(8000)
    assert node.ctx.book.get(place.name).free.memory_mb == 2000
    spec = make_spec(world, "next")
    assert node.executor.usage.adjust(spec).memory_mb == 6000


def test_a_wave_of_cancellations_does_not_hold_lookups_up(world):
    specs = [make_spec(world, f"w{i}", run_ms=60_000) for i in range(2000)]
    world.tell("h-1", m.SubmitRequest(request_id="many", specs=tuple(specs)))
    world.run(2000)
    work_ids = tuple(spec.work_id for spec in specs)
    world.tell("h-1", m.CancelRequest(request_id="wave", work_ids=work_ids))
    for index in range(50):
        world.after(index * 20, lambda i=index: lookup(world, f"q{i}"))
    world.run(10_000)
    assert all(len(world.answers[work_id]) == 2 for work_id in work_ids)
    assert [world.lookups[f"q{i}"][0].status for i in range(50)] == [200] * 50


def lookup(world, request_id):
    world.tell(
        "h-1",
        m.LookupRequest(
            request_id=request_id,
            service="s",
            target="x",
            body=b"",
            deadline_ms=world.now_ms + 200,
        ),
    )
