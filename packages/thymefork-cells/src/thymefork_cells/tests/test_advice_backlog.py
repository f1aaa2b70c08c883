"""Advice calls that queue for busy advice instances.

Guards against queued calls that name workers which are full once the call is made.
"""

from statistics import fmean

from attrs import evolve

from thymefork_cells.state.advice_slots import AdviceSlots

from .harness import job_spec

POLICY = {"decision_ms": 500.0, "per_worker_ms": 7.0, "valid_ms": 2_500.0}
WIDE_STEP = {"count": 10, "cpu_milli": 9_000, "estimated_ms": 3_000}
WORKERS = 60


def run_backlog(make_harness, jobs=60, advisers=4):
    """Submit wide jobs and return the harness after the last has ended."""
    harness = make_harness(
        workers=WORKERS, cpu_milli=32_000, advice=POLICY, advisers=advisers
    )
    harness.is_allowed = lambda step, worker_id: (
        (hash_of(step) + int(worker_id[1:])) % 3
    )
    for worker in harness.workers.values():
        worker.work_ms = 3_000
    for number in range(jobs):
        harness.submit(f"{number:016x}", job_spec(WIDE_STEP))
        harness.run(200)
    harness.run(60_000)
    return harness


def hash_of(step):
    return int(step.split(".")[0], 16)


def totals_ms(harness):
    return [
        job.ended_ms - job.accepted_ms for job in harness.cell.context.jobs.values()
    ]


def test_calls_name_workers_with_current_capacity(make_harness):
    harness = run_backlog(make_harness)
    states = {str(job.state) for job in harness.cell.context.jobs.values()}
    assert states == {"succeeded"}
    assert fmean(totals_ms(harness)) < 4_300


def test_calls_do_not_queue_at_instances(make_harness):
    harness = make_harness(workers=8, advice=POLICY, advisers=1)
    for number in range(6):
        harness.submit(f"{number:016x}", job_spec({"count": 2, "cpu_milli": 1_000}))
    harness.run(100)
    assert len(harness.advisers.queue) == 0
    assert harness.advisers.count == 1


def test_least_urgent_queue_gets_advice_eventually(make_harness):
    harness = make_harness(workers=8, advice=POLICY, advisers=1)
    harness.configuration = with_policy_for_all(harness.configuration)
    harness.cell.on_configuration(harness.configuration)
    harness.submit("b" * 16, job_spec({"count": 1, "cpu_milli": 100}), "batch")
    for number in range(150):
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 100}))
        harness.run(100)
    assert harness.starts_of("b" * 16 + ".0.0.0")


def with_policy_for_all(configuration):
    advice = configuration.queues[0].advice
    queues = tuple(evolve(queue, advice=advice) for queue in configuration.queues)
    return evolve(configuration, version=2, queues=queues)


def test_short_calls_have_reserved_slots():
    slots = AdviceSlots(free_slots=2, free_long_call_slots=1)
    taken = [slots.take(cost_ms) for cost_ms in (900.0, 900.0, 30.0, 30.0)]
    assert taken == [True, False, True, False]


def test_short_calls_use_slots_of_long_calls():
    slots = AdviceSlots(free_slots=2, free_long_call_slots=2)
    taken = [slots.take(cost_ms) for cost_ms in (30.0, 900.0, 900.0)]
    assert taken == [True, True, False]
