"""A new owner that was told no speeds looks for fast workers where jobs are late.

The load: small urgent jobs alone that ask a tenth of the room, on 24 workers of which 8
are 2.4 times as fast. The tightest fit keeps such jobs on the few workers that were
used first. Where these are slow, they pass for ordinary ones, and all jobs stay on
them: their callers wait, though fast workers idle.
"""

import pytest

from .test_heterogeneous_workers import BATCH_GAP_MS, SMALL_GAP_MS, WatchedSite

SEARCH_MS = 12_000.0
LOAD_MS = 8_000.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_small_jobs_find_fast_workers_after_a_takeover_without_news(seed):
    site = WatchedSite(seed=seed)
    site.load(SEARCH_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.announced_speeds.clear()
    site.is_owner_down = True
    site.run(500)
    site.take_over()
    site.run(1_500)
    site.load(SEARCH_MS, small=SMALL_GAP_MS)
    later = set(site.load(LOAD_MS, small=SMALL_GAP_MS))
    assert site.share_on_fast(later) >= 0.9
