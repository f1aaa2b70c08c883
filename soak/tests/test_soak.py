"""Short soak tests, and tests of the invariant checker and the simulated store."""

import asyncio
import io
import subprocess
import sys
from types import SimpleNamespace

import pytest

from thymefork_soak.fleet import loopback_host
from thymefork_soak.main import soak
from thymefork_soak.standin.invariant_checker import InvariantChecker
from thymefork_soak.standin.log import Group, Partition
from thymefork_soak.standin.stall_monitor import StallMonitor
from thymefork_soak.standin.standstill_checker import StandstillChecker

# Includes regressions: two ownerships with one epoch, a worker that shrinks during an
# outage, and a paused owner that continues with a stale list of workers.
SEEDS = ((101, 6.0), (102, 6.0), (1006, 6.0), (3201, 15.0), (4001, 15.0))


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_guarantees_hold_under_faults(seed, seconds, tmp_path):
    violations, seen = asyncio.run(
        soak(seed, seconds, 3, tmp_path, with_accounts=False)
    )
    assert not violations, (violations, seen, tmp_path)


def test_account_limits_and_keys_are_enforced_under_faults(tmp_path):
    violations, seen = asyncio.run(soak(5001, 12.0, 3, tmp_path))
    assert not violations, (violations, seen, tmp_path)


# Guards against a crash that counts for no task because the worker answered before it
# was listed again.
@pytest.mark.parametrize("seed", [7001, 8002])
def test_guarantees_hold_when_workers_leave_and_owners_restart_in_outages(
    seed, tmp_path
):
    violations, seen = asyncio.run(soak(seed, 12.0, 3, tmp_path, with_restarts=True))
    assert not violations, (violations, seen, tmp_path)


def test_guarantees_hold_with_heterogeneous_instances_and_workers(tmp_path):
    violations, seen = asyncio.run(
        soak(9301, 15.0, 5, tmp_path, with_restarts=True, is_heterogeneous=True)
    )
    assert not violations, (violations, seen, tmp_path)


def test_concurrent_soaks_use_different_addresses():
    assert loopback_host(101, 4_000) != loopback_host(9_101, 4_001)


class Worker:
    worker_id = "w"

    def __init__(self, used=1):
        self._used = used

    def used_cpu(self):
        return self._used

    def effective_cpu(self, now_ms):
        return 10


def checker_of_one_job():
    return InvariantChecker(
        jobs={"j": {"spec": "s", "steps": [{"count": 1, "cpu": 1}]}}
    )


def test_checker_reports_concurrent_runs_of_a_task():
    checker = checker_of_one_job()
    checker.on_start(Worker(), "j.0.0.0", 1, "s", 0.0)
    checker.on_start(Worker(), "j.0.0.0", 2, "s", 0.0)
    assert checker.violations and checker.violations[0].startswith("TWICE")


# 3 s to cancel and 0.2 s to stop, counted from 3 s after the last fault or later.
@pytest.mark.parametrize(
    ("acknowledged_ms", "fault_ended_ms", "due_ms"),
    [(10_000, 5_000, 13_200), (10_000, 9_000, 15_200), (10_000, 12_000, 18_200)],
)
def test_checker_reports_tasks_that_outlive_their_cancelled_job(
    acknowledged_ms, fault_ended_ms, due_ms
):
    checker = checker_of_one_job()
    checker.on_start(Worker(), "j.0.0.0", 1, "s", 0.0)
    checker.on_fault(1, 4_000)
    checker.on_fault(-1, fault_ended_ms)
    checker.check_cancelled(60_000)
    checker.on_cancelled("j", acknowledged_ms)
    checker.on_cancelled("j", 50_000)
    checker.check_cancelled(due_ms)
    assert not checker.violations
    checker.check_cancelled(due_ms + 1)
    checker.check_cancelled(due_ms + 101)
    assert [line.split(":")[0] for line in checker.violations] == ["UNASKED"]


def test_checker_ignores_time_under_faults_and_ended_tasks():
    checker = checker_of_one_job()
    checker.on_start(Worker(), "j.0.0.0", 1, "s", 0.0)
    checker.on_cancelled("j", 0.0)
    checker.on_fault(1, 1_000)
    checker.on_fault(1, 1_500)
    checker.on_fault(-1, 2_000)
    checker.check_cancelled(60_000)
    checker.on_fault(-1, 60_000)
    checker.on_end(Worker(), "j.0.0.0", "stopped")
    checker.check_cancelled(120_000)
    assert not checker.violations


@pytest.mark.parametrize(
    ("fault_ended_ms", "started_ms", "violations"),
    [
        (5_000, 13_000, False),
        (5_000, 13_001, True),
        (12_000, 15_000, False),
        (12_000, 15_001, True),
        (None, 30_000, False),
    ],
)
def test_checker_reports_starts_of_a_cancelled_job(
    fault_ended_ms, started_ms, violations
):
    checker = checker_of_one_job()
    checker.on_fault(1, 4_000)
    if fault_ended_ms is not None:
        checker.on_fault(-1, fault_ended_ms)
    checker.on_cancelled("j", 10_000)
    checker.on_start(Worker(), "j.0.0.0", 1, "s", started_ms)
    assert [line.split(":")[0] for line in checker.violations] == [
        "UNASKED"
    ] * violations


def test_store_fences_writers_and_ignores_repeated_appends():
    partition = Partition()
    assert partition.append([], "w", 5, 0) is None
    assert partition.append([("k", b"1")], "w", 5, 1) is None
    assert partition.append([("k", b"1")], "w", 5, 1) is None
    assert len(partition.records) == 1
    assert partition.append([("k", b"2")], "w", 4, 1) == {"reason": "fenced"}
    assert partition.append([("k", b"2")], "w", 5, 3)["reason"] == "seq"


def test_group_reassigns_only_after_the_owner_knows_the_generation():
    group = Group(partition_count=2)
    assert group.join("a", 1_000, 0, 0.0) == [0, 1]
    assert group.join("b", 1_000, 0, 0.0) == []
    before = group.generation
    assert group.join("a", 1_000, group.generation, 0.0) == [1]
    assert group.join("b", 1_000, group.generation, 0.0) == [0]
    assert group.generation > before


def test_command_prints_its_help():
    done = subprocess.run(
        [sys.executable, "-m", "thymefork_soak.main", "--help"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0 and "--seed" in done.stdout


def test_checker_reports_restarts_of_a_task_that_crashes_workers():
    checker = checker_of_one_job()
    checker.crashes_after_ms["j.0.0.0"] = 10.0
    for run_id in range(1, 6):
        checker.on_start(Worker(), "j.0.0.0", run_id, "s", 0.0)
        checker.on_end(Worker(), "j.0.0.0", "crashed")
        checker.on_crash({"j.0.0.0"}, 0.0)
    assert not checker.violations
    checker.on_start(Worker(), "j.0.0.0", 6, "s", 0.0)
    assert [line.split(":")[0] for line in checker.violations] == ["BUDGET"]


def test_checker_ignores_crashes_that_a_task_did_not_cause():
    checker = checker_of_one_job()
    for run_id in range(1, 9):
        checker.on_start(Worker(), "j.0.0.0", run_id, "s", 0.0)
        checker.on_end(Worker(), "j.0.0.0", "crashed")
        checker.on_crash({"j.0.0.0"}, 0.0)
    assert not checker.violations


@pytest.mark.parametrize(("used", "violations"), [(10, []), (11, ["LIMIT"])])
def test_checker_reports_a_start_over_the_effective_capacity(used, violations):
    checker = checker_of_one_job()
    checker.on_start(Worker(used), "j.0.0.0", 1, "s", 0.0)
    assert [line.split(":")[0] for line in checker.violations] == violations


def checker_of_an_account(*limits):
    checker = checker_of_one_job()
    checker.jobs["j"]["steps"] = [{"count": 9, "cpu": 100}]
    checker.accounts["j"] = "a"
    for at_ms, cpu_milli in limits:
        checker.on_limits({"a": cpu_milli}, at_ms)
    return checker


def starts(checker, count, now_ms):
    for index in range(count):
        checker.on_start(Worker(), f"j.0.0.{index}", 1, "s", now_ms)
    return [line.split(":")[0] for line in checker.violations]


# A limit may be exceeded by a tenth and one task.
@pytest.mark.parametrize(("count", "violations"), [(3, []), (4, ["QUOTA"])])
def test_checker_reports_an_account_over_its_limit(count, violations):
    assert starts(checker_of_an_account((0.0, 200)), count, 9_000.0) == violations


@pytest.mark.parametrize(
    ("started_ms", "violations"), [(13_000.0, []), (13_001.0, ["QUOTA"])]
)
def test_older_limit_applies_until_the_next_must_be_in_force(started_ms, violations):
    checker = checker_of_an_account((0.0, 900), (10_000.0, 200))
    assert starts(checker, 4, started_ms) == violations


def test_account_without_a_limit_is_not_checked():
    assert not starts(checker_of_an_account((0.0, 0)), 9, 9_000.0)


def test_lasting_jobs_run_on_beside_failing_ones(tmp_path):
    """Guards against lasting tasks that stand still beside workers with room."""
    violations, seen = asyncio.run(
        soak(4601, 6.0, 3, tmp_path, with_restarts=True, calm_s=14.0)
    )
    assert not violations, (violations, seen, tmp_path)


class RoomyWorker(Worker):
    """Worker with room for everything."""

    down_since_ms = 0.0
    draining = False
    cpu_milli = 8_000


@pytest.mark.parametrize(
    ("idle_ms", "fault_ended_ms", "violations"),
    [(6_000, 0, 0), (6_100, 0, 1), (9_000, 3_000, 0), (12_200, 3_000, 1)],
)
def test_checker_reports_lasting_tasks_that_stand_still(
    idle_ms, fault_ended_ms, violations
):
    checker = checker_of_one_job()
    checker.stable_since_ms = fault_ended_ms - 3_000.0
    standstills = StandstillChecker(
        checker=checker,
        workers=[RoomyWorker(), RoomyWorker()],
        is_allowed=lambda step, worker_id: True,
    )
    standstills.watch("j", 0.0)
    for now_ms in range(0, idle_ms + 1, 100):
        standstills.check(float(now_ms))
    assert len(checker.violations) == violations


def test_checker_ignores_lasting_tasks_soon_after_a_crash():
    checker = checker_of_one_job()
    standstills = StandstillChecker(
        checker=checker,
        workers=[RoomyWorker(), RoomyWorker()],
        is_allowed=lambda step, worker_id: True,
    )
    standstills.watch("j", 0.0)
    checker.on_crash(set(), 4_000.0)
    standstills.check(10_900.0)
    assert not checker.violations
    standstills.check(11_000.0)
    assert len(checker.violations) == 1


def test_checker_ignores_lasting_tasks_without_room_or_with_a_run():
    checker = checker_of_one_job()
    checker.on_start(RoomyWorker(), "j.0.0.0", 1, "s", 0.0)
    standstills = StandstillChecker(
        checker=checker,
        workers=[RoomyWorker(), RoomyWorker()],
        is_allowed=lambda step, worker_id: worker_id != "w",
    )
    standstills.watch("j", 0.0)
    standstills.check(20_000.0)
    checker.on_end(RoomyWorker(), "j.0.0.0", "failed")
    standstills.check(40_000.0)
    assert not checker.violations


# Time-outs of the soak's own calls could not be told from a machine that was too busy.
@pytest.mark.parametrize(("gap_ms", "stalls"), [(150.0, 0), (2_000.0, 1)])
def test_stalls_of_the_simulated_platform_are_reported(gap_ms, stalls):
    times_ms, out = iter([0.0, 100.0, 100.0 + gap_ms]), io.StringIO()
    timers = SimpleNamespace(every=lambda period_ms, action: None)
    monitor = StallMonitor(timers=timers, clock_ms=lambda: next(times_ms), out=out)
    monitor.check()
    monitor.check()
    assert monitor.stalls == stalls
    assert ("stalled for 2000 ms" in out.getvalue()) == bool(stalls)
