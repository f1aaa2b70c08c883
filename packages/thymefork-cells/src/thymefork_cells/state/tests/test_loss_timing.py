"""Comparison of run ages at worker losses."""

import pytest

from thymefork_cells.state import WorkerLoss, have_similar_timing


@pytest.mark.parametrize(
    ("ages_ms", "similar"),
    [
        ([], True),
        ([10], True),
        ([10, 1_100, 300], True),
        ([5_000, 6_200, 5_400], True),
        ([744, 12_541], False),
        ([2_581, 4_496, None], False),
        ([None, None, 9_000], True),
    ],
)
def test_losses_at_similar_run_ages_have_similar_timing(ages_ms, similar):
    found = [
        WorkerLoss(worker_id=f"w{number}", after_ms=age_ms, is_certain=True)
        for number, age_ms in enumerate(ages_ms)
    ]
    assert have_similar_timing(found) is similar
