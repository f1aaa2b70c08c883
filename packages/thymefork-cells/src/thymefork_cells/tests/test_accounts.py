"""Enforcement of client account limits, also during faults and changes."""

import pytest
from attrs import evolve

from thymefork_cells import effects as fx
from thymefork_cells.accounts.quotas import MAX_BLOCKED_STEPS
from thymefork_cells.specs import AccountPolicy, ResourceLimit

from .harness import job_spec

WIDE = {"count": 12, "cpu_milli": 1_000, "estimated_ms": 400}

ADVICE = {"decision_ms": 26.0, "per_worker_ms": 0.4, "valid_ms": 2_500.0}


def account(name="a", cpu_milli=0, memory_mb=0, accelerators=0, **fields):
    limit = ResourceLimit(
        cpu_milli=cpu_milli, memory_mb=memory_mb, accelerators=accelerators
    )
    return AccountPolicy(name=name, limit=limit, **fields)


def use_accounts(harness, *accounts, version=2):
    harness.configuration = evolve(
        harness.configuration, version=version, accounts=accounts
    )
    if harness.cell is not None:
        harness.cell.on_configuration(harness.configuration)


def cpu_running(harness, *job_ids):
    return sum(
        harness._cpu_of(task)
        for task, _ in harness.running()
        if task.split(".")[0] in job_ids
    )


def max_cpu_running(harness, for_ms, *job_ids):
    """Return the maximum cpu that jobs used at once during a time."""
    most = 0
    for _ in range(int(for_ms // 5)):
        harness.run(5)
        most = max(most, cpu_running(harness, *job_ids))
    return most


A, B = "a" * 16, "b" * 16


@pytest.mark.parametrize(
    ("limit", "most"),
    [
        ({"cpu_milli": 3_500}, 3_000),
        ({"memory_mb": 500, "cpu_milli": 0}, 5_000),
        ({}, 12_000),
    ],
)
def test_account_never_exceeds_its_limit(make_harness, limit, most):
    harness = make_harness(workers=4)
    use_accounts(harness, account(**limit))
    harness.submit(A, job_spec({**WIDE, "memory_mb": 100}), account_name="a")
    assert max_cpu_running(harness, 300, A) == most


def test_job_over_the_limit_completes_eventually(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=3_000))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(20_000)
    assert str(harness.job(A).state) == "succeeded"


def test_account_at_its_limit_does_not_block_another(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=2_000), account("b"))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.submit(B, job_spec(WIDE), account_name="b")
    harness.run(100)
    assert cpu_running(harness, A) == 2_000
    assert cpu_running(harness, B) == 12_000


def test_gang_starts_only_if_it_fits_the_limit_as_a_whole(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=6_000))
    gang = {"count": 4, "cpu_milli": 1_000, "gang": True, "estimated_ms": 400}
    harness.submit(A, job_spec(gang), account_name="a")
    harness.submit(B, job_spec(gang), account_name="a")
    assert max_cpu_running(harness, 400, A, B) == 4_000


def test_speculative_copies_count_toward_the_limit(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=4_000))
    step = {**WIDE, "count": 4, "speculative": True}
    harness.submit(A, job_spec(step), account_name="a")
    harness.run(60)
    for worker in list(harness.workers.values())[:2]:
        worker.is_unreachable = True
    assert max_cpu_running(harness, 3_000, A) <= 4_000


def test_stopping_runs_count_until_they_are_gone(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=4_000))
    harness.is_stop_dropped = lambda effect: True
    harness.submit(A, job_spec({**WIDE, "count": 4}), account_name="a")
    harness.run(60)
    harness.cell.intake.cancel("c", A, now_ms=harness.now)
    harness.submit(B, job_spec({**WIDE, "count": 4}), account_name="a")
    assert max_cpu_running(harness, 200, A, B) == 4_000


def test_new_owner_counts_runs_of_the_previous_owner(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=4_000))
    harness.submit(A, job_spec({**WIDE, "count": 4}), account_name="a")
    harness.run(60)
    harness.take_over()
    harness.submit(B, job_spec(WIDE), account_name="a")
    assert max_cpu_running(harness, 300, A, B) == 4_000


def test_runs_on_silent_worker_count_until_leases_expire(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=4_000))
    step = {**WIDE, "count": 4, "estimated_ms": 60_000}
    harness.submit(A, job_spec(step), account_name="a")
    harness.run(60)
    for worker in harness.workers.values():
        worker.is_unreachable = bool(worker.running)
    harness.submit(B, job_spec(WIDE), account_name="a")
    assert max_cpu_running(harness, 2_000, A, B) == 4_000


def test_lowered_limit_blocks_starts_but_stops_no_runs(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=6_000))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(60)
    before = harness.running()
    use_accounts(harness, account(cpu_milli=2_000), version=3)
    harness.run(100)
    assert harness.running() == before
    harness.run(900)
    assert max_cpu_running(harness, 500, A) <= 2_000


def test_removed_account_keeps_its_last_limit(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=3_000))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(60)
    use_accounts(harness, account("b"), version=3)
    assert max_cpu_running(harness, 3_000, A) == 3_000
    harness.run(20_000)
    assert str(harness.job(A).state) == "succeeded"


def test_jobs_of_unknown_account_wait_for_its_limit(make_harness):
    """An entry instance may have read a newer configuration than the owner."""
    harness = make_harness(workers=4)
    use_accounts(harness, account("b"))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(100)
    assert not harness.running()
    use_accounts(harness, account(cpu_milli=2_000), version=3)
    assert max_cpu_running(harness, 200, A) == 2_000


def test_jobs_of_unknown_account_run_eventually(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account("b"))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(20_000)
    assert str(harness.job(A).state) == "succeeded"


def test_cells_share_a_limit(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=8_000))
    harness.cell.context.cell_count = 2
    harness.submit(A, job_spec(WIDE), account_name="a")
    assert max_cpu_running(harness, 300, A) == 4_000


def test_job_that_can_never_fit_the_limit_is_refused(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=3_000))
    gang = {"count": 4, "cpu_milli": 1_000, "gang": True}
    harness.submit(A, job_spec(gang), account_name="a")
    harness.submit(B, job_spec({"count": 1, "cpu_milli": 3_500}), account_name="a")
    harness.run(30)
    outcomes = [harness.replies[job_id].outcome for job_id in (A, B)]
    assert outcomes == [fx.Outcome.OVER_LIMIT] * 2
    assert A not in harness.cell.context.jobs
    assert not any(A in key for key in harness.store)


@pytest.mark.parametrize("kind", ["read", "cancel", "submit"])
def test_account_cannot_access_jobs_of_another(make_harness, kind):
    harness = make_harness(workers=4)
    use_accounts(harness, account(), account("b"))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(30)
    intake = harness.cell.intake
    if kind == "read":
        intake.read("r", A, account_name="b")
    elif kind == "cancel":
        intake.cancel("r", A, account_name="b", now_ms=harness.now)
    else:
        intake.submit("r", A, "q", b"{}", account_name="b", now_ms=harness.now)
    harness.run(30)
    assert harness.replies["r"].outcome is fx.Outcome.NOT_ALLOWED
    assert harness.job(A).is_live


def test_job_keeps_its_account_after_a_takeover(make_harness):
    harness = make_harness(workers=4)
    use_accounts(harness, account(cpu_milli=2_000), account("b"))
    harness.submit(A, job_spec(WIDE), account_name="a")
    harness.run(30)
    harness.take_over()
    assert harness.job(A).account_name == "a"
    harness.cell.intake.cancel("r", A, account_name="b", now_ms=harness.now)
    harness.run(30)
    assert harness.replies["r"].outcome is fx.Outcome.NOT_ALLOWED


def test_plan_considers_few_steps_of_account_at_its_limit(make_harness):
    harness = make_harness(workers=4, advice=ADVICE)
    use_accounts(harness, account(cpu_milli=2_000))
    for number in range(100):
        harness.submit(f"{number:016x}", job_spec(WIDE), account_name="a")
    harness.run(300)
    requested_steps = {step for step, _ in harness.advice_requests}
    assert 0 < len(requested_steps) <= 2 + MAX_BLOCKED_STEPS


def test_no_capacity_is_reserved_for_step_blocked_by_limit(make_harness):
    harness = make_harness(workers=2)
    use_accounts(harness, account(cpu_milli=6_000), account("b"))
    large = {"count": 1, "cpu_milli": 6_000, "estimated_ms": 800}
    harness.submit(A, job_spec(large), account_name="a")
    harness.run(30)
    harness.submit(B, job_spec(large), account_name="a")
    harness.run(400)
    harness.submit("c" * 16, job_spec({**large, "estimated_ms": 5_000}), "q", "b")
    harness.run(60)
    assert cpu_running(harness, "c" * 16) == 6_000


def test_tickets_are_requested_only_for_tasks_within_limit(make_harness):
    """Guards against requesting tickets for many more workers than can be used."""
    harness = make_harness(workers=60, advice=ADVICE)
    use_accounts(harness, account(cpu_milli=4_000))
    harness.submit(A, job_spec({**WIDE, "count": 40}), account_name="a")
    harness.run(500)
    assert max(len(worker_ids) for _, worker_ids in harness.advice_requests) <= 16
