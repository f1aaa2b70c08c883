"""Guards against quorums of two owners that don't overlap.

What an owner announces may be lost, or come after its successor has its quorum.
"""

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
