"""Agreement on the number of cells and the known tiers."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import layout as layout_module
from thymefork_daemon.capacity import Tier
from thymefork_daemon.layout import Layout
from thymefork_machines.store import (
    AppendOutcome,
    AppendResult,
    NewestResult,
    StoreRecord,
)

CLOCK_MODULES = (layout_module,)


class LayoutStore:
    """Keep the newest value of each key; `is_unavailable` makes calls fail."""

    def __init__(self):
        self.values = {}
        self.is_unavailable = False

    def newest(self, *, topic, on_result):
        records = tuple(StoreRecord(key=k, value=v) for k, v in self.values.items())
        result = NewestResult(records=records, next_key="", end_offset=0)
        on_result(None if self.is_unavailable else result)

    def append(self, *, topic, partition, records, on_result, expected_end=None):
        if self.is_unavailable:
            on_result(AppendResult(outcome=AppendOutcome.UNKNOWN))
            return
        self.values.update(records)
        on_result(AppendResult(outcome=AppendOutcome.STORED))


@pytest.fixture
def store():
    return LayoutStore()


@pytest.fixture
def start(store, timers):
    def start(*, is_large):
        layout = Layout(
            store=store,
            timers=timers,
            max_cells=8,
            worker_list=SimpleNamespace(
                entries=dict.fromkeys(range(45)), set_wanted=lambda wanted: None
            ),
            tier=Tier.FULL if is_large else Tier.LEAST,
            on_known=lambda: None,
        )
        layout.start()
        return layout

    return start


def test_small_instances_alone_agree_on_the_cells(start, timers):
    layout = start(is_large=False)
    timers.run(5_000)
    assert layout.cells == 1 and layout.best_tier is Tier.LEAST


def test_small_instance_learns_of_large_ones(start, timers):
    start(is_large=True)
    small = start(is_large=False)
    timers.run(5_000)
    assert small.cells == 1 and small.best_tier is Tier.FULL


def test_large_instance_is_announced_once_the_store_recovers(start, store, timers):
    store.is_unavailable = True
    large = start(is_large=True)
    timers.run(5_000)
    assert not large.cells
    store.is_unavailable = False
    timers.run(1_000)
    assert large.cells == 1
    assert "large" in store.values


def test_large_instance_that_starts_later_is_announced(start, store, timers):
    start(is_large=False)
    timers.run(5_000)
    start(is_large=True)
    timers.run(500)
    assert start(is_large=False).best_tier is Tier.FULL


@pytest.mark.parametrize(
    "value",
    [b"\xff", b"[]", b"7", b'{"cells": "1"}', b'{"cells": 0}', b'{"cells": 99}'],
)
def test_invalid_number_of_cells_is_read_again(store, start, timers, value):
    store.values = {"large": b"true", "cells": value}
    layout = start(is_large=False)
    timers.run(1_000)
    assert layout.cells == 0
    store.values["cells"] = b'{"cells": 2}'
    timers.run(1_000)
    assert layout.cells == 2


def start_tier(store, timers, tier):
    layout = Layout(
        store=store,
        timers=timers,
        max_cells=8,
        worker_list=SimpleNamespace(
            entries=dict.fromkeys(range(45)), set_wanted=lambda wanted: None
        ),
        tier=tier,
        on_known=lambda: None,
    )
    layout.start()
    return layout


def test_each_tier_is_announced(store, timers):
    start_tier(store, timers, Tier.FULL)
    start_tier(store, timers, Tier.PARTIAL)
    least = start_tier(store, timers, Tier.LEAST)
    timers.run(5_000)
    assert set(store.values) == {"large", "partial", "full", "cells"}
    assert least.tiers == set(Tier)


def test_partial_tier_is_best_where_all_are_partial(store, timers):
    layouts = [start_tier(store, timers, Tier.PARTIAL) for _ in range(2)]
    timers.run(5_000)
    assert all(layout.best_tier is Tier.PARTIAL for layout in layouts)


def test_layout_of_a_version_without_tiers_is_read(store, timers):
    """Instances above the least tier add their own keys to the layout."""
    store.values = {"large": b"true", "cells": b'{"cells": 1}'}
    assert start_tier(store, timers, Tier.LEAST).best_tier is Tier.PARTIAL
    full = start_tier(store, timers, Tier.FULL)
    timers.run(1_000)
    assert full.cells == 1 and "full" in store.values
    assert start_tier(store, timers, Tier.LEAST).best_tier is Tier.FULL
