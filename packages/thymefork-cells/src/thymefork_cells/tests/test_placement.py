"""Which worker a task is given to."""

from .harness import job_spec


def test_single_accelerators_are_taken_where_some_are_taken(make_harness):
    """From ferrecor-mvd: singles in every hall left no worker whole for a render."""
    harness = make_harness(workers=4, accelerators=4, hall=lambda number: number // 2)
    singles = {"count": 3, "cpu_milli": 500, "accelerators": 1}
    for number in range(2):
        harness.submit(f"{number:016x}", job_spec(singles))
        harness.run(30)
    used = {key: len(worker.starts) for key, worker in harness.workers.items()}
    assert sorted(used.values()) == [0, 0, 2, 4]


def test_tasks_without_accelerators_keep_together_in_the_emptiest_hall(make_harness):
    harness = make_harness(workers=4, hall=lambda number: f"h{number % 2}")
    first = {"count": 1, "cpu_milli": 6_000}
    harness.submit("a" * 16, job_spec(first))
    harness.run(30)
    [busy] = [key for key, worker in harness.workers.items() if worker.starts]
    harness.submit("b" * 16, job_spec({"count": 2, "cpu_milli": 2_000}))
    harness.run(30)
    later = [
        key
        for key, worker in harness.workers.items()
        if any(name.startswith("b") for name, _, _ in worker.starts)
    ]
    assert {int(key[1]) % 2 for key in later} == {1 - int(busy[1]) % 2}
