"""Tests of instances' tiers by their settings.

A cell of 200 workers needs 0.8 cores, 12 Mbit/s and 140 MB at its peak.
"""

import pytest

from thymefork_daemon.capacity import OwnerCapacity, Tier
from thymefork_daemon.layout import WORKERS_PER_CELL


def capacity(*, cores=2.0, link_mbps=100.0, memory_mb=500.0, workers=WORKERS_PER_CELL):
    return OwnerCapacity(
        cores=cores, link_mbps=link_mbps, memory_mb=memory_mb, cell_workers=workers
    )


@pytest.mark.parametrize(
    "has, tier, lacks",
    [
        ({}, Tier.FULL, ()),
        ({"link_mbps": 10.0}, Tier.PARTIAL, ("link",)),
        ({"memory_mb": 100.0}, Tier.PARTIAL, ("memory",)),
        ({"link_mbps": 5.0, "memory_mb": 100.0}, Tier.PARTIAL, ("link", "memory")),
        ({"cores": 0.4}, Tier.LEAST, ("processor",)),
        ({"cores": 0.4, "link_mbps": 5.0}, Tier.LEAST, ("processor", "link")),
    ],
)
def test_scarcest_resource_decides_tier(has, tier, lacks):
    assert capacity(**has).tier is tier
    assert capacity(**has).lacks == lacks


@pytest.mark.parametrize("cores, tier", [(0.79, Tier.LEAST), (0.8, Tier.FULL)])
@pytest.mark.parametrize("unknown", [{}, {"link_mbps": 0.0, "memory_mb": 0.0}])
def test_tier_by_cores_alone(cores, tier, unknown):
    assert capacity(cores=cores, **unknown).tier is tier


def test_unknown_resources_count_as_sufficient():
    nothing = capacity(cores=0.0, link_mbps=0.0, memory_mb=0.0)
    assert nothing.tier is Tier.FULL


def test_cores_rank_instances_with_equal_links():
    """If no link suffices, instances with enough cores still rank higher."""
    assert capacity(cores=1.3, link_mbps=5.0).tier > (
        capacity(cores=0.4, link_mbps=5.0).tier
    )


def test_smaller_cell_needs_less():
    assert capacity(link_mbps=5.0, workers=24).tier is Tier.FULL
    assert capacity(link_mbps=5.0, workers=176).tier is Tier.PARTIAL


@pytest.mark.parametrize("number", [None, 0, 4, -1])
def test_unknown_tier_number_is_none(number):
    assert Tier.from_number(number) is None
