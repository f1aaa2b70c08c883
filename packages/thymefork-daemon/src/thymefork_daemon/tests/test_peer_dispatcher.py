"""Messages of other instances, handed on to whom they are for."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import (
    owner_watch as owner_watch_module,
    peer_dispatcher as peer_desk_module,
)
from thymefork_daemon.peer_dispatcher import PeerDispatcher
from thymefork_net import Address
from thymefork_net.peers import (
    AdviceReply,
    AdviceRequest,
    Heartbeat,
    Hello,
    OwnedCell,
)

from .fakes import FakeMetrics, capacity_attributes

CLOCK_MODULES = (owner_watch_module, peer_desk_module)


class FakeOwner:
    """Take the answers to its own calls, as an owner of a cell does."""

    def __init__(self, *, asked):
        self._asked = asked
        self.taken = []

    def on_advice_reply(self, reply):
        if reply.call_id not in self._asked:
            return False
        self.taken.append(reply.call_id)
        return True


@pytest.fixture
def daemon(timers):
    owners = {0: FakeOwner(asked={7}), 1: FakeOwner(asked={8})}
    return SimpleNamespace(timers=timers, metrics=FakeMetrics(), owners=owners)


def reply(call_id):
    return AdviceReply(call_id=call_id, answered=True, tickets=[], valid_ms=2_000)


def test_an_answer_that_no_owner_waits_for_is_counted_once(daemon):
    """From a review: such answers were dropped, or taken by others, unseen."""
    desk = PeerDispatcher(daemon=daemon)
    desk.on_message(None, reply(9))
    assert daemon.metrics.counts == [("odd_answers", "advice_not_awaited")]


def test_an_answer_reaches_the_owner_that_asked(daemon):
    desk = PeerDispatcher(daemon=daemon)
    desk.on_message(None, reply(8))
    assert (daemon.owners[0].taken, daemon.owners[1].taken) == ([], [8])
    assert not daemon.metrics.counts


def test_all_owners_hear_of_links_though_one_is_lost_by_it(daemon):
    """As with answers: what follows from a broken link may lose a cell."""
    told = []
    for cell in (0, 1, 2):
        daemon.owners[cell] = SimpleNamespace(
            on_links_changed=lambda cell=cell: (
                told.append(cell) or daemon.owners.pop(cell)
            )
        )
    PeerDispatcher(daemon=daemon).on_message(None, Hello(instance="edge-0"))
    assert told == [0, 1, 2]


def make_daemon(timers, *, in_group, opened, asked=None):
    """Return a daemon that notes the links it opens and the silence it asks about."""
    asked = [] if asked is None else asked
    own = Address(host="10.0.0.1", port=7000)
    owner = Address(host="10.0.0.2", port=7000)
    others = {Address(host=f"10.0.0.{n}", port=7000) for n in range(3, 9)}
    return SimpleNamespace(
        timers=timers,
        owners={},
        configuration=None,
        is_stopping=False,
        layout=SimpleNamespace(cells=1),
        settings=SimpleNamespace(peer=own),
        directory=SimpleNamespace(
            members={owner, *others}, owner_of=lambda cell: owner, refresh=lambda: None
        ),
        links=SimpleNamespace(
            all=[],
            open_link=opened.append,
            is_unresponsive=lambda address, ms: asked.append(ms),
        ),
        membership=SimpleNamespace(in_group=in_group, store_lost=False),
        metrics=FakeMetrics(),
        **capacity_attributes(),
    )


def test_an_instance_outside_the_group_keeps_links_to_owners_alone(timers):
    """From the sweep at 300 instances: each large one heard from 20 small ones more.

    Who is no member judges no owner, so it has no use for the others' word.
    """
    opened = []
    daemon = make_daemon(timers, in_group=False, opened=opened)
    PeerDispatcher(daemon=daemon).send_heartbeats()
    assert opened == [daemon.directory.owner_of(0)]


class FakeLink:
    def __init__(self, address):
        self.listener_address = address


def beat_of(desk, address, **fields):
    message = Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)], config_version=1, in_group=True, **fields
    )
    desk.on_message(FakeLink(address), message)


def test_an_owner_that_stops_is_known_to_leave_and_hurries_nobody(timers):
    """It keeps its cells for now, and a join of every member at each beat is dear."""
    daemon = make_daemon(timers, in_group=True, opened=[])
    hurried = []
    daemon.membership.join_now = lambda: hurried.append(1)
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    desk = daemon.peers = PeerDispatcher(daemon=daemon)
    owner = daemon.directory.owner_of(0)
    beat_of(desk, owner, leaving=True, store_lost=True)
    assert desk.is_leaving(owner) and not hurried
    beat_of(desk, owner, leaving=False, store_lost=False)
    assert not desk.is_leaving(owner)


def test_an_instance_outside_the_group_watches_no_owner(timers):
    asked = []
    PeerDispatcher(daemon=make_daemon(timers, in_group=False, opened=[], asked=asked))
    timers.run(1_000)
    assert not asked


def test_an_instance_watches_owners_once_it_is_a_member(timers):
    asked = []
    daemon = make_daemon(timers, in_group=False, opened=[], asked=asked)
    PeerDispatcher(daemon=daemon)
    daemon.membership.in_group = True
    timers.run(300)
    assert asked


class AdviceQueue:
    """Take calls for the service, and make them when the test says so."""

    def __init__(self):
        self.calls = []

    def ask(self, *, step_name, worker_ids, patience_ms, done, wanted):
        self.calls.append((step_name, wanted, done))

    def made(self):
        """Return the steps whose calls leave; the others fail unsent."""
        made = []
        for step, wanted, done in self.calls:
            if wanted():
                made.append(step)
            done({} if wanted() else None, 0)
        return made


class TalkingLink(FakeLink):
    def __init__(self, address):
        super().__init__(address)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make_adviser(timers):
    daemon = make_daemon(timers, in_group=True, opened=[])
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.advice = AdviceQueue()
    daemon.peers = PeerDispatcher(daemon=daemon)
    return daemon


def ask_advice(desk, link, call_id):
    desk.on_message(
        link,
        AdviceRequest(
            call_id=call_id, step=f"s{call_id}", workers=["w"], patience_ms=500
        ),
    )


def test_a_call_that_waits_here_is_not_made_once_its_owner_has_withdrawn_it(timers):
    daemon = make_adviser(timers)
    desk, owner = daemon.peers, daemon.directory.owner_of(0)
    link, other = TalkingLink(owner), TalkingLink(owner)
    for call_id in (1, 2):
        ask_advice(desk, link, call_id)
    ask_advice(desk, other, 3)
    message = Heartbeat(
        owned=[], config_version=1, in_group=True, withdrawn_calls=[1, 3, 9]
    )
    desk.on_message(link, message)  # numbers of others' calls are theirs to withdraw
    assert daemon.advice.made() == ["s2", "s3"]
    assert [reply.answered for reply in link.sent] == [False, True]
    assert not desk._asked_calls


@pytest.mark.parametrize("cells", [1, 3])
def test_only_where_calls_of_several_owners_meet_they_are_withdrawn(timers, cells):
    daemon = make_adviser(timers)
    daemon.layout.cells = cells
    daemon.membership.round_trip_ms = 3.0
    link = TalkingLink(daemon.directory.owner_of(0))
    daemon.peers.withdraw_advice(link, [5])
    told = [message.withdrawn_calls for message in link.sent]
    assert told == ([[5]] if cells > 1 else [])


def test_a_member_that_comes_is_told_what_it_has_missed_once(timers):
    """News is told once in a while; who owns the cell next may have come since."""
    daemon = make_daemon(timers, in_group=False, opened=[])
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    daemon.learned_speeds = SimpleNamespace(
        take_unannounced=lambda: None, of_owned_cells=lambda: ["all"]
    )
    desk = PeerDispatcher(daemon=daemon)
    daemon.owners = {0: SimpleNamespace(epoch=1, is_serving=True)}
    link = TalkingLink(Address(host="10.0.0.3", port=7000))
    message = Heartbeat(owned=[], config_version=1, leaving=False, in_group=True)
    for _ in range(3):
        desk.on_message(link, message)
        timers.run(300)
    told = [beat.speeds for beat in link.sent]
    assert told[0] == ["all"]
    assert len(told) > 3 and not any(told[1:])


@pytest.mark.parametrize("in_group_after, hurries", [(False, 2), (True, 1)])
def test_members_join_again_after_the_leave_of_who_gave_a_cell_up(
    timers, in_group_after, hurries
):
    """A heartbeat between the decision to leave and the store's answer tells of it.

    The join that follows the first comes too soon, so the one after the leave counts.
    Who merely was dealt away a cell stays in the group, and one join is enough.
    """
    daemon = make_daemon(timers, in_group=True, opened=[])
    hurried = []
    daemon.membership.join_now = lambda: hurried.append(timers.now_ms)
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    desk = PeerDispatcher(daemon=daemon)
    link = FakeLink(daemon.directory.owner_of(0))

    def beat(*cells, in_group):
        owned = [OwnedCell(cell=cell, epoch=1) for cell in cells]
        message = Heartbeat(owned=owned, config_version=1, in_group=in_group)
        desk.on_message(link, message)

    beat(0, in_group=True)
    beat(in_group=in_group_after)
    timers.run(50)
    left_ms = timers.now_ms
    beat(in_group=in_group_after)
    assert len(hurried) == hurries
    assert (hurried[-1] >= left_ms) is not in_group_after
    timers.run(1_000)
    beat(in_group=in_group_after)
    assert len(hurried) == hurries
