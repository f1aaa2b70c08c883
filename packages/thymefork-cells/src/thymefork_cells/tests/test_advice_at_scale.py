"""Many short steps at once under a policy, on more workers than one call may name.

The pattern is desk lookups on a large deployment: 25 jobs a second of six tasks of 1 s,
each on a quarter of a worker, 270 workers in five halls, a service that takes 30 ms and
0.4 ms more for each worker that it is asked about, and a policy that allows 7 in 10.
That is a third of what the workers bear, so no step has cause to wait for room. Asked
about the first hundred workers always, all steps crowded there beside 170 idle ones.
"""

import pytest

from thymefork_cells.advice.worker_selection import ApprovalRates, choose_workers
from thymefork_cells.specs import WorkerEntry
from thymefork_cells.state import Job, Worker

from .harness import job_spec

POLICY = {"decision_ms": 30.0, "per_worker_ms": 0.4, "valid_ms": 2_500.0}
STEP = {"count": 6, "cpu_milli": 3_600, "memory_mb": 3_600, "estimated_ms": 1_000}
WORKERS = 270
HALLS = 5
JOBS = 75
JOBS_A_SECOND = 25


def hall_of(number):
    return f"hall-{number % HALLS}"


@pytest.fixture
def loaded(make_harness):
    """Return a deployment that three seconds of lookups were handed in to."""
    harness = make_harness(
        workers=WORKERS, cpu_milli=16_000, advice=POLICY, hall=hall_of
    )
    harness.allowed = lambda step, worker_id: int(worker_id[1:]) % 10 < 7
    for number in range(JOBS):
        harness.submit(f"{number:016x}", job_spec(STEP))
        harness.run(1_000 / JOBS_A_SECOND)
    harness.run(3_000)
    return harness


def test_no_step_waits_for_room_beside_idle_workers(loaded):
    waits_ms = [
        note.fields["waited_ms"] for note in loaded.notes if note.event == "tasks_start"
    ]
    assert len(waits_ms) >= JOBS
    assert max(waits_ms) < 200


def test_a_call_names_no_more_workers_than_the_step_needs(loaded):
    asked = [len(worker_ids) for _, worker_ids in loaded.asked]
    assert len(asked) <= 2 * JOBS
    assert max(asked) <= 20


def test_steps_spread_over_all_workers(loaded):
    """Among any hundred workers the policy allows 70."""
    assert sum(bool(worker.starts) for worker in loaded.workers.values()) > 90


def workers_of(*cpu_milli, hall=hall_of):
    return [
        Worker(
            entry=WorkerEntry(
                worker_id=f"w{number}",
                machine_id=f"m{number}",
                host="10.0.0.1",
                port=1,
                service="s",
                hall=hall(number),
                cpu_milli=cpu,
                memory_mb=32_000,
            )
        )
        for number, cpu in enumerate(cpu_milli)
    ]


def step_of(job_id="00000000000000aa", **fields):
    job = Job.create(
        job_id=job_id,
        queue_name="q",
        spec=job_spec(STEP | fields),
        now_ms=0.0,
        first_start_ms=0.0,
    )
    return job.steps[0]


def choose(step, workers, wanted, waited_ms=0.0, **fields):
    with_capacity = [worker for worker in workers if worker.has_capacity(step.spec)]
    others = [worker for worker in workers if not worker.has_capacity(step.spec)]
    return choose_workers(
        step, with_capacity, others, wanted, waited_ms=waited_ms, **fields
    )


def test_a_step_asks_about_the_hall_with_the_most_room_first():
    workers = workers_of(*[4_000] * 20, *[16_000] * 20, hall=lambda n: f"h{n // 20}")
    chosen = choose(step_of(), workers, 6, approval_rate=0.7, max_workers=100)
    assert {worker.entry.hall for worker in chosen} == {"h1"}


@pytest.mark.parametrize("approval_rate, least", [(1.0, 8), (0.35, 9), (0.1, 30)])
def test_a_stricter_policy_is_asked_about_more_workers(approval_rate, least):
    workers = workers_of(*[16_000] * 270)
    chosen = choose(step_of(), workers, 6, approval_rate=approval_rate, max_workers=100)
    assert least <= len(chosen) <= 2 * least


def test_after_denials_twice_as_many_are_asked_about_each_time():
    workers = workers_of(*[16_000] * 270)
    step = step_of()
    asked = []
    for step.denials_in_row in range(5):
        chosen = choose(step, workers, 6, approval_rate=0.7, max_workers=100)
        asked.append(len(chosen))
    assert asked == sorted(asked)
    assert asked[-1] == 100


def test_steps_that_ask_at_once_ask_about_different_workers():
    workers = workers_of(*[16_000] * 270)
    first, second = (
        set(
            map(
                id, choose(step_of(job), workers, 6, approval_rate=0.7, max_workers=100)
            )
        )
        for job in ("00000000000000aa", "00000000000000ab")
    )
    assert len(first & second) < len(first) / 2


def test_the_share_that_a_policy_allows_is_learned():
    shares = ApprovalRates()
    assert shares.rate_of("q") == 0.5
    for _ in range(60):
        shares.learn("q", 1, 10)
    assert shares.rate_of("q") == pytest.approx(0.1, abs=0.01)
    for _ in range(60):
        shares.learn("q", 0, 10)
    assert shares.rate_of("q") > 0
    assert shares.rate_of("another") == 0.5


def test_a_step_whose_workers_filled_up_asks_about_others(make_harness):
    harness = make_harness(workers=40, cpu_milli=4_000, advice=POLICY)
    harness.submit("00000000000000aa", job_spec(STEP | {"count": 1}))
    harness.run(10)
    (_, first), *_ = harness.asked
    assert len(first) < 20
    for worker_id in first:
        worker = harness.cell.context.workers[worker_id]
        worker.held_cpu_milli = worker.entry.cpu_milli
    harness.run(300)
    ((worker_id, _, _),) = harness.starts_of("00000000000000aa.0.0.0")
    assert worker_id not in first


def test_a_step_asks_about_full_workers_only_beside_those_with_room():
    workers = workers_of(*[16_000] * 3, *[1_000] * 40)
    chosen = choose(step_of(), workers, 6, approval_rate=0.5, max_workers=100)
    assert set(map(id, workers[:3])) <= set(map(id, chosen))
    assert 8 <= len(chosen) <= 24


def test_urgent_work_finds_room_to_be_made_on_a_full_deployment(make_harness):
    """From cab-bogota-large, trouble-2: lookups waited 1.3 s with a hall cut off.

    They had tickets for the few workers with a little room, and less urgent work that
    could make way ran on all the others.
    """
    harness = make_harness(workers=40, cpu_milli=16_000, advice=POLICY)
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    background = {"count": 4, "cpu_milli": 4_000, "checkpoints": True}
    for number in range(40):
        count = 3 if number % 8 == 0 else 4
        spec = job_spec(background | {"estimated_ms": 20_000, "count": count})
        harness.submit(f"{number:016x}", spec, queue="batch")
        harness.run(10)
    harness.run(1_500)
    for worker in harness.workers.values():
        worker.work_ms = 1_000.0
    step = {"count": 12, "cpu_milli": 4_000, "estimated_ms": 1_000}
    harness.submit("00000000000000aa", job_spec(step))
    harness.run(1_000)
    started = [harness.starts_of(f"00000000000000aa.0.0.{n}") for n in range(12)]
    assert sum(bool(starts) for starts in started) == 12


def start_lasting(harness):
    """Run four lasting tasks, one a worker; let a new owner go on with them."""
    step = {"count": 4, "cpu_milli": 2_000, "most_per_worker": 1, "long_running": True}
    harness.submit("00000000000000aa", job_spec(step))
    harness.run(1_500)
    harness.take_over()
    harness.run(500)
    return {
        key[0]: worker for worker in harness.workers.values() for key in worker.running
    }


def test_a_task_finds_another_worker_beside_tickets_it_cannot_use(make_harness):
    """From cab-bogota-large, scale-2: a lasting task waited 4.5 s beside idle workers.

    The one worker in eight that was allowed ran another task of the step, which keeps
    to one a worker; its ticket counted as room until it lapsed.
    """
    harness = make_harness(workers=60, cpu_milli=16_000, advice=POLICY)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    running = start_lasting(harness)
    assert len(running) == 4
    asked_before = len(harness.asked)
    at_work = {worker.worker_id for worker in running.values()}

    def allowed(step, worker_id):
        first = harness.asked[asked_before][1]
        return worker_id in at_work or worker_id not in first

    harness.allowed = allowed
    (task, worker), *_ = running.items()
    at_work.discard(worker.worker_id)
    ((key),) = [key for key in worker.running if key[0] == task]
    began_ms = harness.now
    worker._end(key, "failed")
    harness.run(1_500)
    starts = [at_ms for _, _, at_ms in harness.starts_of(task) if at_ms > began_ms]
    assert starts and starts[0] - began_ms < 1_300


def test_a_failed_task_is_not_given_back_while_others_may_be_asked(make_harness):
    """With few tickets the one worker left was the one that had failed the task."""
    harness = make_harness(workers=60, cpu_milli=4_000, advice=POLICY, max_attempts=2)
    harness.submit("00000000000000aa", job_spec(STEP | {"count": 1}))
    harness.run(10)
    (_, first), *_ = harness.asked
    bad = first[0]
    harness.workers[bad].fails_all = True
    harness.allowed = lambda step, worker_id: worker_id == bad or worker_id not in first
    harness.run(3_000)
    starts = sorted(harness.starts_of("00000000000000aa.0.0.0"), key=lambda row: row[1])
    assert [worker_id == bad for worker_id, _, _ in starts] == [True, False]


def test_a_step_that_waits_on_asks_about_more_workers_each_time():
    """A policy that allows few, and none that helps, must not take a call for each."""
    workers = workers_of(*[16_000] * 270)
    step = step_of()
    asked = [
        len(
            choose(
                step,
                workers,
                1,
                approval_rate=0.7,
                max_workers=100,
                waited_ms=waited_ms,
            )
        )
        for waited_ms in (0.0, 600.0, 1_100.0, 1_600.0, 2_600.0)
    ]
    assert asked[0] == 8 and asked == sorted(asked) and asked[-1] == 100
