"""Limit parts move between cells by need, and are returned.

Guards against unused limit while an account's jobs wait, and against exceeding it.
"""

import pytest

from thymefork_cells.specs import PARTS_PER_CELL, LimitParts, ResourceLimit

from .cell_group import CellGroup
from .harness import job_spec

LIMIT_CPU_MILLI = 50_000
CELLS = 5
TASK = {"cpu_milli": 2_000, "estimated_ms": 600}
# Longer than a round of requests, an append and a start.
SOON_MS = 100


@pytest.fixture
def group():
    group = CellGroup(cells=CELLS, limit_cpu_milli=LIMIT_CPU_MILLI)
    group.run(100)
    return group


def submit(group, cell, number, *steps):
    group.cells[cell].submit(f"{number:016x}", job_spec(*steps), account_name="a")


def state(group, cell, number):
    return str(group.cells[cell].job(f"{number:016x}").state)


def parts_held(group):
    return [harness.cell.parts.held("a").cpu for harness in group.cells]


def test_single_busy_cell_gets_most_of_the_limit_soon(group):
    submit(group, 1, 1, {**TASK, "count": 60, "estimated_ms": 5_000})
    group.run(SOON_MS)
    assert group.cpu_running() >= 0.8 * LIMIT_CPU_MILLI
    group.run(2_000)
    assert group.max_cpu_milli <= LIMIT_CPU_MILLI and not group.violations


def test_gang_as_large_as_the_limit_starts_in_any_cell(group):
    gang = {"cpu_milli": 5_000, "count": 10, "gang": True, "estimated_ms": 400}
    submit(group, 3, 1, gang)
    group.run(400)
    assert group.max_cpu_milli == LIMIT_CPU_MILLI and not group.violations


def test_idle_parts_are_returned(group):
    submit(group, 1, 1, {**TASK, "count": 24, "estimated_ms": 300})
    group.run(1_500)
    assert state(group, 1, 1) == "succeeded"
    group.run(1_000)
    assert parts_held(group) == [PARTS_PER_CELL] * CELLS
    assert not any("l" == key[0] for cell in group.cells for key in cell.store)


def test_lender_with_work_gets_its_own_parts_back(group):
    for number in range(40):
        submit(group, 1, number, {**TASK, "count": 20})
    group.run(500)
    submit(group, 2, 100, {**TASK, "count": 40})
    group.run(1_000)
    assert group.cpu_running(2) >= 0.8 * LIMIT_CPU_MILLI / CELLS
    assert not group.violations


def test_gangs_needing_over_half_do_not_deadlock(group):
    gang = {"cpu_milli": 3_000, "count": 10, "gang": True, "estimated_ms": 400}
    for cell in range(CELLS):
        submit(group, cell, cell, gang)
    group.run(6_000)
    states = [state(group, cell, cell) for cell in range(CELLS)]
    assert states == ["succeeded"] * CELLS and not group.violations


def test_job_in_each_cell_runs_despite_flood_in_one_cell(group):
    for number in range(60):
        submit(group, 0, number, {**TASK, "count": 20})
    group.run(1_000)
    for cell in range(1, CELLS):
        submit(group, cell, 100 + cell, {**TASK, "count": 2})
    group.run(2_500)
    states = {state(group, cell, 100 + cell) for cell in range(1, CELLS)}
    assert states == {"succeeded"} and not group.violations


def uneven_work_duration_ms(cells):
    """Return how long 250 tasks take, of which 175 are in one cell."""
    group = CellGroup(cells=cells, limit_cpu_milli=LIMIT_CPU_MILLI)
    for number in range(10):
        submit(group, 0 if number < 7 else cells - 1, number, {**TASK, "count": 25})
    while any(harness.cell.context.live_jobs for harness in group.cells):
        group.run(50)
    assert not group.violations
    return group.now


def test_unevenly_distributed_work_takes_little_longer():
    assert uneven_work_duration_ms(CELLS) <= 1.2 * uneven_work_duration_ms(1)


def test_accelerator_split_between_cells_can_be_used():
    """With three accelerators and five cells, no cell's own part is a whole one."""
    limit = ResourceLimit(accelerators=3)
    whole = CELLS * PARTS_PER_CELL
    assert limit.part(LimitParts.all_of(PARTS_PER_CELL), whole).accelerators == -1
    one = LimitParts.from_resources(ResourceLimit(accelerators=1), limit, whole)
    assert limit.part(one, whole).accelerators == 1


def test_idle_cells_send_no_messages(group):
    submit(group, 1, 1, {**TASK, "count": 2, "estimated_ms": 300})
    group.run(5_000)
    assert state(group, 1, 1) == "succeeded" and group.messages == 0
