"""Owners that are replaced before their membership lapses."""

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
    removed, hurried = [], []
    daemon = SimpleNamespace(
        layout=SimpleNamespace(cells=1),
        settings=SimpleNamespace(peer=Address(host="10.0.0.1", port=7000)),
        directory=SimpleNamespace(
            owner_of=lambda cell: OWNER, remove_dead=removed.append
        ),
        links=SimpleNamespace(
            is_unresponsive=lambda address, ms: timers.now_ms - heard_ms[address] >= ms,
            responsive_fraction=lambda ms: daemon.share,
        ),
        membership=SimpleNamespace(
            is_healthy=True,
            in_group=True,
            store_lost=False,
            renewed_ms=timers.now_ms + 1,
            join_now=lambda: hurried.append(1),
        ),
        peers=SimpleNamespace(is_leaving=lambda address: daemon.owner_leaves),
        owner_leaves=False,
        hurried=hurried,
        is_stopping=False,
        timers=timers,
        metrics=FakeMetrics(),
        **capacity_attributes(),
        heard_ms=heard_ms,
        removed=removed,
        share=0.9,
    )
    daemon.watch = OwnerWatch(daemon=daemon)
    return daemon


def test_a_silent_owner_is_taken_out_once(daemon, timers):
    timers.run(400)
    assert not daemon.removed
    timers.run(100)
    assert daemon.removed == [OWNER]
    timers.run(500)
    assert daemon.removed == [OWNER]
    assert len(daemon.hurried) == 2


def test_a_silent_owner_that_leaves_is_taken_out_as_soon_as_the_store_is_back(
    daemon, timers
):
    """From cab-bogota, trouble-2: its hall was cut off while it kept cells for others.

    It stops, and keeps its cells since the store is away. Others that have just
    regained the store wait 0.4 s before they judge an owner; by then its link was shut
    for its silence, and the cell went on 1.05 s after the store's return, when its
    membership had lapsed. An owner that leaves is no loss: whoever has the store may
    replace it.
    """
    daemon.membership.is_healthy = False
    timers.run(500)
    assert not daemon.removed
    daemon.owner_leaves = True
    timers.run(100)
    assert daemon.removed == [OWNER]


def test_nobody_without_the_store_takes_out_an_owner_that_leaves(daemon, timers):
    daemon.owner_leaves = True
    daemon.membership.is_healthy = False
    daemon.membership.store_lost = True
    timers.run(1_000)
    assert not daemon.removed


def test_an_owner_that_is_heard_is_let_be(daemon, timers):
    for _ in range(20):
        daemon.heard_ms[OWNER] = timers.now_ms
        timers.run(100)
    assert not daemon.removed


def test_an_instance_that_is_cut_off_itself_judges_nobody(daemon, timers):
    daemon.share = 0.3
    timers.run(2_000)
    assert not daemon.removed


def test_an_instance_without_the_store_judges_nobody(daemon, timers):
    daemon.membership.is_healthy = False
    timers.run(2_000)
    assert not daemon.removed


@pytest.mark.parametrize("lost, owns", [(True, True), (True, False), (False, True)])
def test_an_owner_that_has_lost_the_store_is_taken_out(daemon, lost, owns):
    owned = [OwnedCell(cell=0, epoch=1)] if owns else []
    message = Heartbeat(
        owned=owned, config_version=1, leaving=False, in_group=True, store_lost=lost
    )
    daemon.watch.on_heartbeat(SimpleNamespace(listener_address=OWNER), message)
    assert daemon.removed == ([OWNER] if lost and owns else [])


def beat(daemon, *, store_lost):
    message = Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)],
        config_version=1,
        leaving=False,
        in_group=True,
        store_lost=store_lost,
    )
    daemon.watch.on_heartbeat(SimpleNamespace(listener_address=OWNER), message)


def test_an_owner_is_not_taken_out_at_the_beginning_of_an_outage_for_all(
    daemon, timers
):
    """From cab-bogota-large, scale-2: LOST, since the ends heard meanwhile were lost.

    The owner notices first; the others' last joins were answered just before.
    """
    daemon.membership.renewed_ms = timers.now_ms - 200
    for _ in range(5):
        beat(daemon, store_lost=True)
        daemon.heard_ms[OWNER] = timers.now_ms
        timers.run(100)
    assert not daemon.removed
    assert daemon.hurried  # each asks the store by a join of its own


def test_an_owner_that_lost_the_store_alone_is_taken_out_after_one_join(daemon, timers):
    daemon.membership.renewed_ms = timers.now_ms - 200
    beat(daemon, store_lost=True)
    timers.run(20)
    daemon.membership.renewed_ms = timers.now_ms
    timers.run(80)
    beat(daemon, store_lost=True)
    assert daemon.removed == [OWNER]


def test_an_owner_that_lost_the_store_for_a_moment_is_asked_about_anew(daemon, timers):
    daemon.membership.renewed_ms = timers.now_ms - 200
    beat(daemon, store_lost=True)
    timers.run(100)
    daemon.membership.renewed_ms = timers.now_ms
    beat(daemon, store_lost=False)
    timers.run(100)
    beat(daemon, store_lost=True)
    assert not daemon.removed


def test_a_members_link_that_breaks_under_a_beat_stops_no_other(timers):
    class BreakingLink:
        def __init__(self):
            self.sent = 0

        def send(self, message):
            self.sent += 1
            desk.on_link_broken(self)

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
    desk = PeerDispatcher(daemon=daemon)
    for link in links:
        link.was_refused = link.connected = False
        link.address = link.listener_address = None
        desk._member_links.add(link)
    timers.run(110)
    assert [link.sent for link in links] == [1, 1, 1]


def test_members_keep_links_to_others_than_the_owner(timers):
    """From ferrecor-mvd, trouble-3: nobody could judge the first owner's silence."""
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
