"""Guards against tasks that run twice as a successor counts leases too short.

An owner that is cut off from the store goes on renewing leases while it has a quorum.
"""

import pytest

from .partition_cases import PartitionCase
from .run_invariants import tasks_run_twice


# The runs of workers that leave must not be taken for lost while they may go on.
@pytest.mark.parametrize("seed", range(60))
def test_no_task_runs_twice_beside_a_partitioned_owner(seed):
    assert not tasks_run_twice(PartitionCase(seed=seed).play())
