"""Choice of halls and workers for tasks."""

from .harness import job_spec


def test_single_accelerators_are_packed(make_harness):
    """Guards against single accelerators in use on every worker."""
    harness = make_harness(workers=4, accelerators=4, hall=lambda number: number // 2)
    single_tasks = {"count": 3, "cpu_milli": 500, "accelerators": 1}
    for number in range(2):
        harness.submit(f"{number:016x}", job_spec(single_tasks))
        harness.run(30)
    used = {key: len(worker.starts) for key, worker in harness.workers.items()}
    assert sorted(used.values()) == [0, 0, 2, 4]


def test_tasks_without_accelerators_share_the_emptiest_hall(make_harness):
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
