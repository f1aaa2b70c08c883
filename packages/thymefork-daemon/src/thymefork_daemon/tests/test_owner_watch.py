"""Early eviction of owners, and the heartbeats and links that it relies on."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import owner_watch as owner_watch_module
from thymefork_daemon.owner_watch import OwnerWatch
from thymefork_daemon.peer_dispatcher import PeerDispatcher
from thymefork_net import Address
from thymefork_net.peers import Heartbeat, OwnedCell

from .fakes import FakeMetrics, capacity_attributes

CLOCK_MODULES = (owner_watch_module,)

OWNER = Address(host="10.0.0.2", port=7000)


@pytest.fixture
def daemon(timers):
    heard_ms = {OWNER: timers.now_ms}
    evicted, joins = [], []
    daemon = SimpleNamespace(
        layout=SimpleNamespace(cells=1),
        settings=SimpleNamespace(peer=Address(host="10.0.0.1", port=7000)),
        directory=SimpleNamespace(
            owner_of=lambda cell: OWNER, remove_dead=evicted.append
        ),
        links=SimpleNamespace(
            is_unresponsive=lambda address, ms: timers.now_ms - heard_ms[address] >= ms,
            responsive_fraction=lambda ms: daemon.heard_share_of_peers,
        ),
        membership=SimpleNamespace(
            is_healthy=True,
            in_group=True,
            store_lost=False,
            renewed_ms=timers.now_ms + 1,
            join_now=lambda: joins.append(1),
        ),
        peers=SimpleNamespace(is_leaving=lambda address: daemon.is_owner_leaving),
        is_owner_leaving=False,
        joins=joins,
        is_stopping=False,
        timers=timers,
        metrics=FakeMetrics(),
        **capacity_attributes(),
        heard_ms=heard_ms,
        evicted=evicted,
        heard_share_of_peers=0.9,
    )
    daemon.watch = OwnerWatch(daemon=daemon)
    return daemon


def test_silent_owner_is_evicted_once(daemon, timers):
    timers.run(400)
    assert not daemon.evicted
    timers.run(100)
    assert daemon.evicted == [OWNER]
    timers.run(500)
    assert daemon.evicted == [OWNER]
    assert len(daemon.joins) == 2


def test_leaving_silent_owner_is_evicted_once_the_store_recovers(daemon, timers):
    """Its link may be closed for silence before other members may evict again.

    The owner keeps its cells only until someone else can take them, so any member that
    reaches the store may evict it at once.
    """
    daemon.membership.is_healthy = False
    timers.run(500)
    assert not daemon.evicted
    daemon.is_owner_leaving = True
    timers.run(100)
    assert daemon.evicted == [OWNER]


def test_member_without_the_store_evicts_no_leaving_owner(daemon, timers):
    daemon.is_owner_leaving = True
    daemon.membership.is_healthy = False
    daemon.membership.store_lost = True
    timers.run(1_000)
    assert not daemon.evicted


def test_owner_that_is_heard_is_not_evicted(daemon, timers):
    for _ in range(20):
        daemon.heard_ms[OWNER] = timers.now_ms
        timers.run(100)
    assert not daemon.evicted


def test_disconnected_instance_evicts_nobody(daemon, timers):
    daemon.heard_share_of_peers = 0.3
    timers.run(2_000)
    assert not daemon.evicted


def test_instance_without_the_store_evicts_nobody(daemon, timers):
    daemon.membership.is_healthy = False
    timers.run(2_000)
    assert not daemon.evicted


@pytest.mark.parametrize("lost, owns", [(True, True), (True, False), (False, True)])
def test_owner_that_lost_the_store_is_evicted(daemon, lost, owns):
    owned = [OwnedCell(cell=0, epoch=1)] if owns else []
    message = Heartbeat(
        owned=owned, config_version=1, leaving=False, in_group=True, store_lost=lost
    )
    daemon.watch.on_heartbeat(SimpleNamespace(listener_address=OWNER), message)
    assert daemon.evicted == ([OWNER] if lost and owns else [])


def receive_heartbeat(daemon, *, store_lost):
    message = Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)],
        config_version=1,
        leaving=False,
        in_group=True,
        store_lost=store_lost,
    )
    daemon.watch.on_heartbeat(SimpleNamespace(listener_address=OWNER), message)


def test_owner_is_not_evicted_at_the_start_of_a_full_outage(daemon, timers):
    """Guards against run ends lost by evicting an owner in an outage for all.

    The owner notices first; the others' last joins were answered just before.
    """
    daemon.membership.renewed_ms = timers.now_ms - 200
    for _ in range(5):
        receive_heartbeat(daemon, store_lost=True)
        daemon.heard_ms[OWNER] = timers.now_ms
        timers.run(100)
    assert not daemon.evicted
    assert daemon.joins  # joins at once to find out whether the store answers


def test_owner_that_lost_the_store_alone_is_evicted_after_one_join(daemon, timers):
    daemon.membership.renewed_ms = timers.now_ms - 200
    receive_heartbeat(daemon, store_lost=True)
    timers.run(20)
    daemon.membership.renewed_ms = timers.now_ms
    timers.run(80)
    receive_heartbeat(daemon, store_lost=True)
    assert daemon.evicted == [OWNER]


def test_brief_loss_of_the_store_requires_a_new_join(daemon, timers):
    daemon.membership.renewed_ms = timers.now_ms - 200
    receive_heartbeat(daemon, store_lost=True)
    timers.run(100)
    daemon.membership.renewed_ms = timers.now_ms
    receive_heartbeat(daemon, store_lost=False)
    timers.run(100)
    receive_heartbeat(daemon, store_lost=True)
    assert not daemon.evicted


def test_heartbeat_reaches_all_members_though_links_break(timers):
    class BreakingLink:
        def __init__(self):
            self.sent = 0

        def send(self, message):
            self.sent += 1
            dispatcher.on_link_broken(self)

    links = [BreakingLink() for _ in range(3)]
    daemon = SimpleNamespace(
        timers=timers,
        owners={
            0: SimpleNamespace(is_serving=True, epoch=1, on_links_changed=lambda: None)
        },
        configuration=None,
        is_stopping=False,
        layout=SimpleNamespace(cells=0),
        membership=SimpleNamespace(
            in_group=True, store_lost=False, round_trip_ms=6.0, join_now=lambda: None
        ),
        gateway=SimpleNamespace(on_link_broken=lambda link: None),
        metrics=FakeMetrics(),
        **capacity_attributes(),
        learned_speeds=SimpleNamespace(take_unannounced=lambda: None),
    )
    dispatcher = PeerDispatcher(daemon=daemon)
    for link in links:
        link.was_refused = link.connected = False
        link.address = link.listener_address = None
        dispatcher._member_links.add(link)
    timers.run(110)
    assert [link.sent for link in links] == [1, 1, 1]


def test_members_keep_links_to_other_members(timers):
    """Guards against a group in which nobody can evict the first owner."""
    own = Address(host="10.0.0.1", port=7000)
    others = {Address(host=f"10.0.0.{n}", port=7000) for n in range(2, 9)}
    opened = set()
    daemon = SimpleNamespace(
        timers=timers,
        owners={},
        configuration=None,
        is_stopping=False,
        layout=SimpleNamespace(cells=0),
        settings=SimpleNamespace(peer=own),
        directory=SimpleNamespace(members={own, *others}),
        links=SimpleNamespace(all=[], open_link=opened.add),
        membership=SimpleNamespace(in_group=True, store_lost=False, round_trip_ms=6.0),
        metrics=FakeMetrics(),
        **capacity_attributes(),
    )
    PeerDispatcher(daemon=daemon).send_heartbeats()
    assert len(opened) == 3 and opened < others
