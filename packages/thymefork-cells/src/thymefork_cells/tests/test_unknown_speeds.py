"""Exploration of fast workers by a new owner that knows no speeds.

Guards against small jobs that stay on the slow workers that were used first.
"""

import pytest

from .test_heterogeneous_workers import BATCH_GAP_MS, SMALL_GAP_MS, RecordingHarness

EXPLORE_MS = 12_000.0
LOAD_MS = 8_000.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_small_jobs_find_fast_workers_after_takeover(seed):
    site = RecordingHarness(seed=seed)
    site.load(EXPLORE_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.announced_speeds.clear()
    site.is_owner_down = True
    site.run(500)
    site.take_over()
    site.run(1_500)
    site.load(EXPLORE_MS, small=SMALL_GAP_MS)
    later = set(site.load(LOAD_MS, small=SMALL_GAP_MS))
    assert site.share_on_fast(later) >= 0.9
