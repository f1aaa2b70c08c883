"""Selection of workers for advice in a cluster with more workers than a call may name.

Guards against steps that crowd on the same workers or wait beside idle ones.
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
    """Return a cluster at a third of its capacity after three seconds of jobs."""
    harness = make_harness(
        workers=WORKERS, cpu_milli=16_000, advice=POLICY, hall=hall_of
    )
    harness.is_allowed = lambda step, worker_id: int(worker_id[1:]) % 10 < 7
    for number in range(JOBS):
        harness.submit(f"{number:016x}", job_spec(STEP))
        harness.run(1_000 / JOBS_A_SECOND)
    harness.run(3_000)
    return harness


def test_no_step_waits_beside_idle_workers(loaded):
    waits_ms = [
        note.fields["waited_ms"] for note in loaded.notes if note.event == "tasks_start"
    ]
    assert len(waits_ms) >= JOBS
    assert max(waits_ms) < 200


def test_calls_name_few_workers(loaded):
    worker_counts = [len(worker_ids) for _, worker_ids in loaded.advice_requests]
    assert len(worker_counts) <= 2 * JOBS
    assert max(worker_counts) <= 20


def test_steps_spread_over_many_workers(loaded):
    """The policy allows 70 of any hundred workers."""
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


def test_hall_with_most_capacity_comes_first():
    workers = workers_of(*[4_000] * 20, *[16_000] * 20, hall=lambda n: f"h{n // 20}")
    chosen = choose(step_of(), workers, 6, approval_rate=0.7, max_workers=100)
    assert {worker.entry.hall for worker in chosen} == {"h1"}


@pytest.mark.parametrize("approval_rate, min_count", [(1.0, 8), (0.35, 9), (0.1, 30)])
def test_lower_approval_rate_asks_about_more_workers(approval_rate, min_count):
    workers = workers_of(*[16_000] * 270)
    chosen = choose(step_of(), workers, 6, approval_rate=approval_rate, max_workers=100)
    assert min_count <= len(chosen) <= 2 * min_count


def test_number_of_workers_doubles_with_each_denial():
    workers = workers_of(*[16_000] * 270)
    step = step_of()
    worker_counts = []
    for step.denials_in_row in range(5):
        chosen = choose(step, workers, 6, approval_rate=0.7, max_workers=100)
        worker_counts.append(len(chosen))
    assert worker_counts == sorted(worker_counts)
    assert worker_counts[-1] == 100


def test_concurrent_steps_ask_about_different_workers():
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


def test_approval_rate_is_learned():
    shares = ApprovalRates()
    assert shares.rate_of("q") == 0.5
    for _ in range(60):
        shares.learn("q", 1, 10)
    assert shares.rate_of("q") == pytest.approx(0.1, abs=0.01)
    for _ in range(60):
        shares.learn("q", 0, 10)
    assert shares.rate_of("q") > 0
    assert shares.rate_of("another") == 0.5


def test_step_with_full_workers_asks_about_others(make_harness):
    harness = make_harness(workers=40, cpu_milli=4_000, advice=POLICY)
    harness.submit("00000000000000aa", job_spec(STEP | {"count": 1}))
    harness.run(10)
    (_, first), *_ = harness.advice_requests
    assert len(first) < 20
    for worker_id in first:
        worker = harness.cell.context.workers[worker_id]
        worker.held_cpu_milli = worker.entry.cpu_milli
    harness.run(300)
    ((worker_id, _, _),) = harness.starts_of("00000000000000aa.0.0.0")
    assert worker_id not in first


def test_workers_with_capacity_are_always_included():
    workers = workers_of(*[16_000] * 3, *[1_000] * 40)
    chosen = choose(step_of(), workers, 6, approval_rate=0.5, max_workers=100)
    assert set(map(id, workers[:3])) <= set(map(id, chosen))
    assert 8 <= len(chosen) <= 24


def test_urgent_step_preempts_on_full_cluster(make_harness):
    """Guards against tickets only for workers that have nothing to preempt."""
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


def start_long_running(harness):
    """Start four long-running tasks, one per worker; let a new owner take over."""
    step = {"count": 4, "cpu_milli": 2_000, "most_per_worker": 1, "long_running": True}
    harness.submit("00000000000000aa", job_spec(step))
    harness.run(1_500)
    harness.take_over()
    harness.run(500)
    return {
        key[0]: worker for worker in harness.workers.values() for key in worker.running
    }


def test_unusable_ticket_does_not_block_a_task(make_harness):
    """Guards against counting a ticket for a worker that `most_per_worker` excludes."""
    harness = make_harness(workers=60, cpu_milli=16_000, advice=POLICY)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    running = start_long_running(harness)
    assert len(running) == 4
    request_count_before = len(harness.advice_requests)
    busy_ids = {worker.worker_id for worker in running.values()}

    def is_allowed(step, worker_id):
        first = harness.advice_requests[request_count_before][1]
        return worker_id in busy_ids or worker_id not in first

    harness.is_allowed = is_allowed
    (task, worker), *_ = running.items()
    busy_ids.discard(worker.worker_id)
    ((key),) = [key for key in worker.running if key[0] == task]
    began_ms = harness.now
    worker._end(key, "failed")
    harness.run(1_500)
    starts = [at_ms for _, _, at_ms in harness.starts_of(task) if at_ms > began_ms]
    assert starts and starts[0] - began_ms < 1_300


def test_failed_task_is_retried_on_another_worker(make_harness):
    """Guards against a retry on the failed worker for lack of other tickets."""
    harness = make_harness(workers=60, cpu_milli=4_000, advice=POLICY, max_attempts=2)
    harness.submit("00000000000000aa", job_spec(STEP | {"count": 1}))
    harness.run(10)
    (_, first), *_ = harness.advice_requests
    failing = first[0]
    harness.workers[failing].fails_all = True
    harness.is_allowed = lambda step, worker_id: (
        worker_id == failing or worker_id not in first
    )
    harness.run(3_000)
    starts = sorted(harness.starts_of("00000000000000aa.0.0.0"), key=lambda row: row[1])
    assert [worker_id == failing for worker_id, _, _ in starts] == [True, False]


def test_number_of_workers_grows_with_the_wait():
    """Guards against many small calls under a strict policy."""
    workers = workers_of(*[16_000] * 270)
    step = step_of()
    worker_counts = [
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
    assert (
        worker_counts[0] == 8
        and worker_counts == sorted(worker_counts)
        and worker_counts[-1] == 100
    )
