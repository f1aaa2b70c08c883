"""Exploration of fast workers by a new owner that knows no speeds.

Guards against small jobs that stay on the slow workers that were used first.
"""

import pytest

from .test_heterogeneous_workers import BATCH_GAP_MS, SMALL_GAP_MS, RecordingHarness

EXPLORE_MS = 12_000.0
LOAD_MS = 8_000.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_small_jobs_find_fast_workers_after_takeover(seed):
    harness = RecordingHarness(seed=seed)
    harness.load(EXPLORE_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    harness.announced_speeds.clear()
    harness.is_owner_down = True
    harness.run(500)
    harness.take_over()
    harness.run(1_500)
    harness.load(EXPLORE_MS, small=SMALL_GAP_MS)
    later = set(harness.load(LOAD_MS, small=SMALL_GAP_MS))
    assert harness.share_on_fast(later) >= 0.9
