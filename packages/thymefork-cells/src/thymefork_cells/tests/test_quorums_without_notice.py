"""Guards against quorums of two owners that don't overlap.

What an owner announces may be lost, or come after its successor has its quorum.
"""

import random

import pytest
from attrs import evolve

from .harness import job_spec
from .run_invariants import tasks_run_twice

WORKERS = 20


def announce_leave(harness, worker_ids):
    harness.publish_worker_list(
        [
            evolve(entry, draining=True, leaves_in_ms=9_000)
            if entry.worker_id in worker_ids
            else entry
            for entry in harness.entries
        ]
    )
    harness.run(300)


# The owner needed 6 of the 10 workers that stay, its successor any 12 of all 20.
@pytest.mark.parametrize("leaving", range(2, 11))
@pytest.mark.parametrize("near", [6, 7])
@pytest.mark.parametrize("notice_after_ms", [0, 250, None])
def test_owner_in_a_hall_that_is_cut_off(make_harness, leaving, near, notice_after_ms):
    harness = make_harness(workers=WORKERS)
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
    harness.submit("00000000000000aa", job_spec({"count": 20, "cpu_milli": 8_000}))
    harness.run(1_000)
    ids = sorted(harness.workers)
    announce_leave(harness, ids[:leaving])
    near_ids, far_ids = set(ids[-near:]), set(ids[:-near])
    harness.partitions.out_of_reach |= {1: far_ids, 2: near_ids}
    harness.partitions.add(member_until_ms=harness.now + 900, tells=False)
    notices, harness.lease_notices = harness.lease_notices, []
    if notice_after_ms == 0:
        harness.lease_notices = notices
    for worker_id in far_ids - set(ids[:leaving]):  # there is room elsewhere
        for run in harness.workers[worker_id].running.values():
            run.ends_ms = harness.now
    harness.run(950)
    harness.take_over()
    if notice_after_ms:
        harness.run(notice_after_ms)
        for notice in notices:
            harness.cell.inherited_leases.apply(notice)
    harness.run(14_000)
    assert not tasks_run_twice(harness)


def draw_split(harness, rng):
    """Let each of two owners reach some workers, which later changes for a few."""
    near, far = set(), set()  # what the first owner, and its successor, don't reach
    share = rng.uniform(0.2, 0.8)
    for worker_id in sorted(harness.workers):
        side = rng.random()
        if side < share:
            far.add(worker_id)
        elif side < 0.95:
            near.add(worker_id)
    harness.partitions.out_of_reach |= {1: near, 2: far}

    def change(worker_id):
        near.symmetric_difference_update({worker_id})
        far.symmetric_difference_update({worker_id})

    count = rng.randint(0, len(harness.workers) // 4)
    for worker_id in rng.sample(sorted(near ^ far), min(count, len(near ^ far))):
        harness.run_after(
            rng.uniform(900.0, 8_000.0), lambda name=worker_id: change(name)
        )


def restart(harness, worker):
    if not worker.is_unreachable:
        harness.restart(worker, away_ms=100.0)


# The owner and its successor split the workers in any way; the notice may be lost.
@pytest.mark.parametrize("seed", range(40))
def test_two_owners_that_split_the_workers(make_harness, seed):
    rng = random.Random(f"split {seed}")
    harness = make_harness(workers=rng.randint(10, 24))
    for worker in harness.workers.values():
        worker.work_ms = 60_000.0
        worker.clock_rate = rng.choice((0.98, 1.0))
    count = len(harness.workers) * 2 // 3
    harness.submit("00000000000000aa", job_spec({"count": count, "cpu_milli": 8_000}))
    harness.run(1_000)
    ids = sorted(harness.workers)
    announce_leave(harness, rng.sample(ids, rng.randint(0, len(ids) // 2)))
    for worker_id in rng.sample(ids, rng.randint(0, len(ids) // 5)):
        harness.crash(harness.workers[worker_id])
    harness.run(rng.uniform(0.0, 3_000.0))
    if rng.random() < 0.4:
        harness.lease_notices = []
    draw_split(harness, rng)
    harness.partitions.add(
        member_until_ms=harness.now + 900,
        notices_fences=rng.random() < 0.5,
        tells=rng.random() < 0.5,
    )
    for worker_id in rng.sample(ids, 2):
        if not harness.workers[worker_id].is_unreachable:
            at_ms = rng.uniform(0.0, 5_000.0)
            worker = harness.workers[worker_id]
            harness.run_after(at_ms, lambda one=worker: restart(harness, one))
    harness.run(950 + rng.choice((0.0, rng.uniform(0.0, 3_000.0))))
    harness.take_over()
    harness.run(20_000)
    assert not tasks_run_twice(harness)
