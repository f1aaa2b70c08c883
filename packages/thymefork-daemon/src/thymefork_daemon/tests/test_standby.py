"""Small instances that join the group in place of missing members.

After all instances were lost, they return almost together, read the same members and
must not all join at the same moment.
"""

import random
from types import SimpleNamespace

import pytest

from thymefork_daemon import owner_directory, standby as standby_module
from thymefork_daemon.capacity import Tier
from thymefork_daemon.membership import CELLS_TOPIC
from thymefork_daemon.owner_directory import OwnerDirectory
from thymefork_daemon.standby import Standby
from thymefork_machines.store import MemberRow

from .fakes import FakeStore

CLOCK_MODULES = (owner_directory, standby_module)


@pytest.fixture(autouse=True, params=[1, 2, 3])
def seeded_jitter(request):
    random.seed(request.param)


class SmallInstances:
    """Small instances on standby that read the same group."""

    def __init__(self, timers, *, count, has_large):
        self.joined = []
        self.members = []
        self._stores = []
        self._timers = timers
        tiers = {Tier.LEAST, Tier.FULL} if has_large else {Tier.LEAST}
        layout = SimpleNamespace(cells=1, tiers=tiers, best_tier=max(tiers))
        for number in range(count):
            store = FakeStore()
            directory = OwnerDirectory(
                store=store,
                timers=timers,
                own_id=self._member_id(number),
                partition_of=lambda cell: 7,
                on_change=lambda: None,
                on_removed=lambda: None,
            )
            membership = SimpleNamespace(start=lambda number=number: self._join(number))
            Standby(
                timers=timers, membership=membership, directory=directory, layout=layout
            ).start()
            directory.refresh()
            self._stores.append(store)

    @staticmethod
    def _member_id(number):
        return f"small-{number}|10.0.1.{number}|7000|1"

    def _join(self, number):
        self.joined.append(self._timers.now_ms)
        self.members.append(self._member_id(number))

    def run(self, for_ms):
        for _ in range(for_ms // 10):
            rows = tuple(
                MemberRow(topic=CELLS_TOPIC, partition=partition, member_id=member_id)
                for partition, member_id in enumerate(self.members)
            )
            for store in self._stores:
                while store.owner_calls:
                    store.owner_calls.pop(0)(rows)
            self._timers.run(10)


@pytest.mark.parametrize("count", [3, 18, 97])
def test_few_small_instances_join_where_none_is_large(timers, count):
    """Guards against a long time without any member."""
    instances = SmallInstances(timers, count=count, has_large=False)
    began_ms = timers.now_ms
    instances.run(5_000)
    assert 3 <= len(instances.joined) <= max(3, count // 2)
    assert instances.joined[0] - began_ms <= standby_module.JOIN_JITTER_MS + 300


def test_small_instances_give_large_ones_time_to_return(timers):
    instances = SmallInstances(timers, count=18, has_large=True)
    instances.run(4_000)
    assert not instances.joined
    instances.run(1_500)
    assert 1 <= len(instances.joined) <= 9


def test_small_instances_stay_out_beside_a_large_member(timers):
    instances = SmallInstances(timers, count=18, has_large=True)
    instances.members.append("large|10.0.2.1|7000|1")
    instances.run(20_000)
    assert not instances.joined


def test_small_instances_stay_out_beside_enough_members(timers):
    instances = SmallInstances(timers, count=18, has_large=False)
    instances.members += [f"other-{n}|10.0.2.{n}|7000|1" for n in range(3)]
    instances.run(20_000)
    assert not instances.joined


class OneStandby:
    """One instance on standby, beside members that the test lists."""

    def __init__(self, timers):
        self.joined = []
        self.rows = ()
        self._timers = timers
        self._store = store = FakeStore()
        directory = OwnerDirectory(
            store=store,
            timers=timers,
            own_id="small|10.0.1.1|7000|1",
            partition_of=lambda cell: 7,
            on_change=lambda: None,
            on_removed=lambda: None,
        )
        Standby(
            timers=timers,
            directory=directory,
            layout=SimpleNamespace(
                cells=1, tiers={Tier.LEAST, Tier.FULL}, best_tier=Tier.FULL
            ),
            membership=SimpleNamespace(start=lambda: self.joined.append(1)),
        ).start()
        directory.refresh()

    def run(self, for_ms, *, rows, answer_ms=0):
        for _ in range(for_ms // 10):
            while self._store.owner_calls:
                on_result = self._store.owner_calls.pop(0)
                self._timers.after(answer_ms, lambda call=on_result: call(rows))
            self._timers.run(10)


LISTED = (MemberRow(topic=CELLS_TOPIC, partition=7, member_id="large|10.0.1.2|7000|1"),)


@pytest.mark.parametrize("why", ["paused", "store_away"])
def test_standby_reads_again_before_joining_after_a_pause(timers, why):
    """Better members may have joined since its last read."""
    standby = OneStandby(timers)
    standby.run(1_000, rows=())
    if why == "paused":
        timers.now_ms += 5_000.0
        timers.run(10)
    else:
        standby.run(5_000, rows=None)
    standby.run(1_000, rows=LISTED)
    assert not standby.joined


@pytest.mark.parametrize("answer_ms", [10, 300, 600])
def test_standby_joins_though_the_store_answers_late(timers, answer_ms):
    standby = OneStandby(timers)
    standby.run(8_000, rows=(), answer_ms=answer_ms)
    assert standby.joined
