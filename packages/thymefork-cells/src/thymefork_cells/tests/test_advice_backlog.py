"""More steps ask a policy than the instances have time for.

The pattern: wide merges under a policy that allows a third of the workers and takes
half a second and 7 ms more for each worker that it is asked about; after a loss of
instances, or in a burst, calls wait for seconds. Chosen when they were queued, the
workers they named had no room any more once they were made, and steps that could
still be in time waited behind others.
"""

from statistics import fmean

from attrs import evolve

from thymefork_cells.state.advice_slots import AdviceSlots

from .harness import job_spec

POLICY = {"decision_ms": 500.0, "per_worker_ms": 7.0, "valid_ms": 2_500.0}
MERGE = {"count": 10, "cpu_milli": 9_000, "estimated_ms": 3_000}
WORKERS = 60


def load(make_harness, jobs=60, advisers=4):
    """Hand in merges at once and return the harness once the last has ended."""
    harness = make_harness(
        workers=WORKERS, cpu_milli=32_000, advice=POLICY, advisers=advisers
    )
    harness.allowed = lambda step, worker_id: (hash_of(step) + int(worker_id[1:])) % 3
    for worker in harness.workers.values():
        worker.work_ms = 3_000
    for number in range(jobs):
        harness.submit(f"{number:016x}", job_spec(MERGE))
        harness.run(200)
    harness.run(60_000)
    return harness


def hash_of(step):
    return int(step.split(".")[0], 16)


def totals_ms(harness):
    return [
        job.ended_ms - job.accepted_ms for job in harness.cell.context.jobs.values()
    ]


def test_calls_are_made_for_workers_that_have_room_then(make_harness):
    """With its workers chosen as a call was queued, the mean was 4,981 ms."""
    harness = load(make_harness)
    states = {str(job.state) for job in harness.cell.context.jobs.values()}
    assert states == {"succeeded"}
    assert fmean(totals_ms(harness)) < 4_300


def test_no_call_waits_for_an_instance_with_its_workers_chosen(make_harness):
    harness = make_harness(workers=8, advice=POLICY, advisers=1)
    for number in range(6):
        harness.submit(f"{number:016x}", job_spec({"count": 2, "cpu_milli": 1_000}))
    harness.run(100)
    assert len(harness.advisers.queue) == 0
    assert harness.advisers.count == 1


def test_a_step_of_the_last_queue_is_asked_for_in_the_end(make_harness):
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


def test_short_calls_have_instances_to_themselves():
    slots = AdviceSlots(any_call=2, long_call=1)
    taken = [slots.take(cost_ms) for cost_ms in (900.0, 900.0, 30.0, 30.0)]
    assert taken == [True, False, True, False]


def test_short_calls_leave_no_more_than_there_is_for_long_ones():
    slots = AdviceSlots(any_call=2, long_call=2)
    taken = [slots.take(cost_ms) for cost_ms in (30.0, 900.0, 900.0)]
    assert taken == [True, True, False]
