"""Guards against jobs that stand still after a takeover behind workers that left.

The workers say before an outage that they leave, and are gone by its end. The owner
that knew it ends in the outage, and its successor can't ask them any more.
"""

import pytest

from .outage_cases import WORKERS, OutageCase, longest_idle_ms, play
from .run_invariants import tasks_run_twice

# Longest time that a job may stall although it could run.
MAX_STALL_MS = 3_000.0
SEEDS = range(20)
# Where the workers come that replace those that leave.
MACHINES = [
    pytest.param(True, id="other_machine"),
    pytest.param(False, id="same_machine"),
]


def check(make_harness, case):
    harness = make_harness(workers=WORKERS)
    jobs, taken_over_ms = play(harness, case)
    longest_ms = max(longest_idle_ms(harness, job, taken_over_ms) for job in jobs)
    assert longest_ms < MAX_STALL_MS
    assert not tasks_run_twice(harness)


# A next owner waited 4.15 s for the leases of workers that had said that they leave.
@pytest.mark.parametrize("new_machine", MACHINES)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_stalls_if_the_owner_dies_in_an_outage(make_harness, seed, new_machine):
    check(make_harness, OutageCase(seed=seed, new_machine=new_machine))


# The same after a planned end, of which the next owner could know.
@pytest.mark.parametrize("new_machine", MACHINES)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_stalls_if_the_owner_stops_in_an_outage(make_harness, seed, new_machine):
    case = OutageCase(seed=seed, new_machine=new_machine, is_planned=True)
    check(make_harness, case)


# The same at a hand-over, while workers leave and the store answers.
@pytest.mark.parametrize("new_machine", MACHINES)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_stalls_after_a_hand_over(make_harness, seed, new_machine):
    case = OutageCase(
        seed=seed, new_machine=new_machine, is_planned=True, has_outage=False
    )
    check(make_harness, case)
