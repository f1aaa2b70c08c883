"""Guards against lasting tasks that stand still after a crash and a takeover."""

import pytest

from .harness import job_spec
from .standstills import StandstillWatch
from .test_standstills import LASTING, LASTING_STEP, MAX_LASTING_IDLE_MS, set_lasting


# A next owner waited for the leases of a crashed worker beside its machine's new one.
@pytest.mark.parametrize("return_delay_ms", [300, 2_800, 5_000])
@pytest.mark.parametrize("keeps_worker_ids", [False, True])
@pytest.mark.parametrize("replaced_after_ms", [200, 2_500])
def test_lasting_task_runs_soon_after_crash_and_takeover(
    make_harness, return_delay_ms, keeps_worker_ids, replaced_after_ms
):
    harness = make_harness(workers=5)
    harness.keeps_worker_ids = keeps_worker_ids
    harness.return_delay_ms = return_delay_ms
    set_lasting(harness)
    harness.submit(LASTING, job_spec(LASTING_STEP))
    harness.run(3_000)
    harness.crash(next(one for one in harness.workers.values() if one.running))
    watch = StandstillWatch(harness=harness)
    watch.run(replaced_after_ms)
    harness.is_owner_down = True
    watch.run(300)
    harness.take_over()
    watch.run(20_000)
    longest_ms = max(watch.longest_ms.values())
    assert longest_ms < MAX_LASTING_IDLE_MS
    # It is known to be lost once the machine's new worker is listed.
    assert longest_ms < max(return_delay_ms, replaced_after_ms + 300) + 500
