"""An account never exceeds its limit despite faults of owners and links.

Covers owners that die after lending or borrowing, link failures, lost, late, repeated
and reordered messages, and lowered limits.
"""

from random import Random

import pytest

from thymefork_cells import effects as fx
from thymefork_cells.accounts.quotas import UNKNOWN_ACCOUNT_TIMEOUT_MS

from .cell_group import CellGroup
from .harness import job_spec
from .test_limit_parts import CELLS, LIMIT_CPU_MILLI, TASK, parts_held, submit

SEEDS = 60
# Time for which a configuration may stay in force after its replacement.
APPLIED_MS = UNKNOWN_ACCOUNT_TIMEOUT_MS
# Maximum time for which a job with enough limit may run nothing.
MAX_STALL_MS = 3_000.0


@pytest.fixture
def group():
    group = CellGroup(cells=CELLS, limit_cpu_milli=LIMIT_CPU_MILLI)
    group.run(100)
    return group


def submit_large_job(group, *, cell=1):
    submit(group, cell, 1, {**TASK, "count": 60, "estimated_ms": 2_500})


def submit_to_others(group, *, but=1):
    for cell in range(CELLS):
        if cell != but:
            submit(group, cell, 10 + cell, {**TASK, "count": 20})


@pytest.mark.parametrize("killed_after_ms", range(1, 40, 3))
def test_loan_of_killed_lender_binds_its_next_owner(group, killed_after_ms):
    submit_large_job(group)
    group.run(killed_after_ms)
    group.kill(0, for_ms=300)
    group.run(500)
    submit_to_others(group)
    group.run(5_000)
    assert not group.violations


@pytest.mark.parametrize("killed_after_ms", [10, 20, 30, 50, 100, 1_000, 2_700, 3_000])
def test_runs_of_killed_borrower_count_for_its_next_owner(group, killed_after_ms):
    submit_large_job(group)
    group.run(killed_after_ms)
    group.kill(1, for_ms=300)
    submit_to_others(group)
    group.run(8_000)
    assert not group.violations
    group.run(12_000)
    assert not any(harness.cell.context.live_jobs for harness in group.cells)


def test_next_owner_returns_parts_of_killed_borrower(group):
    submit(group, 1, 1, {**TASK, "count": 24, "estimated_ms": 300})
    group.run(100)
    group.kill(1, for_ms=300)
    group.run(6_000)
    assert parts_held(group) == [1_000_000] * CELLS


def test_link_failure_only_withholds_lent_parts(group):
    submit_large_job(group)
    group.run(100)
    group.is_link_down = lambda one, other: True
    submit_to_others(group)
    group.run(4_000)
    assert not group.violations
    group.is_link_down = lambda one, other: False
    group.run(15_000)
    assert not any(harness.cell.context.live_jobs for harness in group.cells)
    group.run(5_000)
    assert parts_held(group) == [1_000_000] * CELLS


def test_lowered_limit_holds_while_parts_are_lent(group):
    """Guards against borrowers that keep using the old limit's share."""
    submit_large_job(group)
    group.run(100)
    group.set_limit(20_000)
    submit_to_others(group)
    group.run(15_000)
    assert not group.violations


def test_nothing_starts_while_runs_exceed_a_lowered_limit(group):
    """Cells below their own parts reserve them for the cell that exceeds its parts."""
    group.applied_ms = 400.0
    submit(group, 1, 1, {**TASK, "count": 20, "estimated_ms": 6_000})
    group.run(200)
    submit_to_others(group)
    group.run(300)
    group.set_limit(30_000)
    group.run(5_000)
    assert not group.violations
    group.run(15_000)
    assert not any(harness.cell.context.live_jobs for harness in group.cells)


def test_grant_is_not_sent_before_it_is_stored(group):
    group.cells[0].store_down = True
    submit_large_job(group)
    group.run(1_000)
    lender, borrower = group.cells[0].cell, group.cells[1].cell
    assert lender.parts.loans("a") and 0 not in borrower.parts.borrowed_from("a")


def test_repeated_grant_is_ignored_after_parts_were_returned(group):
    grants = []

    def delivery_delays(message):
        if isinstance(message, fx.GrantParts) and message.number:
            grants.append(message)
        return [2.0]

    group.delivery_delays = delivery_delays
    submit(group, 1, 1, {**TASK, "count": 24, "estimated_ms": 300})
    group.run(3_000)
    borrower = group.cells[1].cell
    for grant in grants:
        if grant.borrower == 1:
            borrower.on_parts(grant, now_ms=group.now)
    assert parts_held(group) == [1_000_000] * CELLS


def test_grant_to_previous_owner_is_ignored(group):
    """The grant may arrive after that owner has returned its parts and died."""
    grants = []
    group.delivery_delays = lambda message: grants.append(message) or [2.0]
    submit(group, 1, 1, {**TASK, "count": 24, "estimated_ms": 300})
    group.run(2_000)
    assert parts_held(group) == [1_000_000] * CELLS
    group.kill(1, for_ms=300)
    group.run(500)
    for message in grants:
        if isinstance(message, fx.GrantParts) and message.borrower == 1:
            group.cells[1].cell.on_parts(message, now_ms=group.now)
    assert parts_held(group) == [1_000_000] * CELLS


def random_delivery_delays(rng):
    """Return random delivery delays: some messages are late, repeated or lost."""

    def delivery_delays(message):
        kind = rng.random()
        if kind < 0.1:
            return []
        if kind < 0.2:
            return [rng.uniform(1, 1_500)]
        if kind < 0.3:
            return [rng.uniform(1, 20), rng.uniform(1, 3_000)]
        return [rng.uniform(1, 10)]

    return delivery_delays


def random_job(rng):
    kind = rng.random()
    if kind < 0.2:
        step = {"cpu_milli": 2_000, "count": rng.randint(2, 6), "gang": True}
    elif kind < 0.3:
        step = {"cpu_milli": rng.randint(5_000, 12_000), "count": 1}
    else:
        step = {"cpu_milli": 1_000 * rng.randint(1, 4), "count": rng.randint(1, 12)}
    return job_spec({**step, "estimated_ms": rng.randint(100, 1_200)})


def run_random_load(seed, *, faults_ms, kinds):
    """Run random jobs and faults; return the group with work still to do."""
    rng = Random(seed)
    cells = rng.randint(2, 5)
    group = CellGroup(cells=cells, limit_cpu_milli=30_000, workers=3)
    group.run(60)
    group.applied_ms = APPLIED_MS
    group.delivery_delays = random_delivery_delays(rng)
    until_ms = group.now + faults_ms
    number = 0
    while group.now < until_ms:
        cell = 0 if rng.random() < 0.6 else rng.randrange(cells)
        harness = group.cells[cell]
        if not harness.is_owner_down:
            number += 1
            harness.submit(f"{number:016x}", random_job(rng), account_name="a")
        if rng.random() < 0.15:
            _inject_fault(group, rng, kinds)
        group.run(rng.randint(20, 250))
    return group


def _inject_fault(group, rng, kinds):
    kind = rng.choice(kinds)
    cell = rng.randrange(len(group.cells))
    if kind == "kill" and not group.cells[cell].is_owner_down:
        group.kill(cell, for_ms=rng.randint(50, 800))
    elif kind == "cut":
        until_ms = group.now + rng.randint(100, 2_000)
        group.is_link_down = lambda one, other: (
            cell in (one, other) and group.now < until_ms
        )
    elif kind == "limit":
        group.set_limit(rng.choice([24_000, 30_000, 40_000]))
    elif kind == "one_limit":
        group.set_limit(rng.choice([24_000, 30_000]), cells=[group.cells[cell]])


def drain(group):
    """End all faults; return whether all jobs end."""
    group.delivery_delays = lambda message: [2.0]
    group.is_link_down = lambda one, other: False
    group.run(1_500)
    group.stalled_since.clear()
    group.longest_stall_ms = 0.0
    for _ in range(40):
        group.run(500)
        if not any(harness.cell.context.live_jobs for harness in group.cells):
            return True
    return False


@pytest.mark.parametrize("seed", range(SEEDS))
def test_limit_holds_under_random_owner_and_link_faults(seed):
    group = run_random_load(seed, faults_ms=2_500, kinds=["kill", "cut"])
    assert drain(group)
    assert not group.violations
    assert group.longest_stall_ms <= MAX_STALL_MS


@pytest.mark.parametrize("seed", range(SEEDS))
def test_limit_holds_under_random_limit_changes_and_faults(seed):
    """A lowered limit is checked once it is in force everywhere."""
    group = run_random_load(
        seed, faults_ms=2_500, kinds=["kill", "cut", "limit", "one_limit"]
    )
    group.set_limit(24_000)
    assert drain(group)
    assert not group.violations
    assert group.longest_stall_ms <= MAX_STALL_MS
