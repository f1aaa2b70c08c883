"""Dispatching of peers' messages, and the links kept to peers."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import (
    owner_watch as owner_watch_module,
    peer_dispatcher as peer_dispatcher_module,
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

CLOCK_MODULES = (owner_watch_module, peer_dispatcher_module)


class FakeOwner:
    """Accept only answers to its own calls."""

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


def test_unawaited_answer_is_counted_once(daemon):
    """Guards against answers dropped silently or handled by another owner."""
    dispatcher = PeerDispatcher(daemon=daemon)
    dispatcher.on_message(None, reply(9))
    assert daemon.metrics.counts == [("odd_answers", "advice_not_awaited")]


def test_answer_reaches_the_owner_that_asked(daemon):
    dispatcher = PeerDispatcher(daemon=daemon)
    dispatcher.on_message(None, reply(8))
    assert (daemon.owners[0].taken, daemon.owners[1].taken) == ([], [8])
    assert not daemon.metrics.counts


def test_all_owners_are_notified_of_links_though_cells_are_lost(daemon):
    """Handling a broken link may lose a cell."""
    observed = []
    for cell in (0, 1, 2):
        daemon.owners[cell] = SimpleNamespace(
            on_links_changed=lambda cell=cell: (
                observed.append(cell) or daemon.owners.pop(cell)
            )
        )
    PeerDispatcher(daemon=daemon).on_message(None, Hello(instance="edge-0"))
    assert observed == [0, 1, 2]


def make_daemon(timers, *, in_group, opened, asked=None):
    """Return a daemon that records opened links and the silence checked for."""
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


def test_instance_outside_the_group_keeps_links_to_owners_only(timers):
    """Guards against heartbeats from many instances that cannot own cells.

    An instance outside the group evicts nobody, so it needs no others' heartbeats.
    """
    opened = []
    daemon = make_daemon(timers, in_group=False, opened=opened)
    PeerDispatcher(daemon=daemon).send_heartbeats()
    assert opened == [daemon.directory.owner_of(0)]


class FakeLink:
    def __init__(self, address):
        self.listener_address = address


def receive_heartbeat(dispatcher, address, **fields):
    message = Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)], config_version=1, in_group=True, **fields
    )
    dispatcher.on_message(FakeLink(address), message)


def test_stopping_owner_is_leaving_and_triggers_no_join(timers):
    """It keeps its cells for now; joining at each of its heartbeats is too costly."""
    daemon = make_daemon(timers, in_group=True, opened=[])
    join_times_ms = []
    daemon.membership.join_now = lambda: join_times_ms.append(1)
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    daemon.lease_notices = SimpleNamespace(
        forward_to_owner=nothing, messages_of_owned_cells=lambda: None
    )
    dispatcher = daemon.peers = PeerDispatcher(daemon=daemon)
    owner = daemon.directory.owner_of(0)
    receive_heartbeat(dispatcher, owner, leaving=True, store_lost=True)
    assert dispatcher.is_leaving(owner) and not join_times_ms
    receive_heartbeat(dispatcher, owner, leaving=False, store_lost=False)
    assert not dispatcher.is_leaving(owner)


def test_instance_outside_the_group_watches_no_owner(timers):
    asked = []
    PeerDispatcher(daemon=make_daemon(timers, in_group=False, opened=[], asked=asked))
    timers.run(1_000)
    assert not asked


def test_instance_watches_owners_once_it_is_a_member(timers):
    asked = []
    daemon = make_daemon(timers, in_group=False, opened=[], asked=asked)
    PeerDispatcher(daemon=daemon)
    daemon.membership.in_group = True
    timers.run(300)
    assert asked


class AdviceQueue:
    """Queue calls to the service until the test makes them."""

    def __init__(self):
        self.calls = []

    def ask(self, *, step_name, worker_ids, timeout_ms, done, wanted):
        self.calls.append((step_name, wanted, done))

    def made(self):
        """Return the steps whose calls are made; withdrawn ones fail unsent."""
        made = []
        for step, wanted, done in self.calls:
            if wanted():
                made.append(step)
            done({} if wanted() else None, 0)
        return made


class RecordingLink(FakeLink):
    def __init__(self, address):
        super().__init__(address)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make_advising_daemon(timers):
    daemon = make_daemon(timers, in_group=True, opened=[])
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.advice = AdviceQueue()
    daemon.peers = PeerDispatcher(daemon=daemon)
    return daemon


def ask_advice(dispatcher, link, call_id):
    dispatcher.on_message(
        link,
        AdviceRequest(
            call_id=call_id, step=f"s{call_id}", workers=["w"], patience_ms=500
        ),
    )


def test_withdrawn_advice_call_is_not_made(timers):
    daemon = make_advising_daemon(timers)
    dispatcher, owner = daemon.peers, daemon.directory.owner_of(0)
    link, other = RecordingLink(owner), RecordingLink(owner)
    for call_id in (1, 2):
        ask_advice(dispatcher, link, call_id)
    ask_advice(dispatcher, other, 3)
    message = Heartbeat(
        owned=[], config_version=1, in_group=True, withdrawn_calls=[1, 3, 9]
    )
    dispatcher.on_message(link, message)  # other peers' calls are not affected
    assert daemon.advice.made() == ["s2", "s3"]
    assert [reply.answered for reply in link.sent] == [False, True]
    assert not dispatcher._open_advice_calls


@pytest.mark.parametrize("cells", [1, 3])
def test_advice_is_withdrawn_only_with_several_cells(timers, cells):
    daemon = make_advising_daemon(timers)
    daemon.layout.cells = cells
    daemon.membership.round_trip_ms = 3.0
    link = RecordingLink(daemon.directory.owner_of(0))
    daemon.peers.withdraw_advice(link, [5])
    observed = [message.withdrawn_calls for message in link.sent]
    assert observed == ([[5]] if cells > 1 else [])


def test_new_member_gets_all_learned_speeds_once(timers):
    """Speeds are announced rarely, and the member may become the next owner."""
    daemon = make_daemon(timers, in_group=False, opened=[])
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    daemon.lease_notices = SimpleNamespace(
        forward_to_owner=nothing, messages_of_owned_cells=lambda: None
    )
    daemon.learned_speeds = SimpleNamespace(
        take_unannounced=lambda: None, of_owned_cells=lambda: ["all"]
    )
    dispatcher = PeerDispatcher(daemon=daemon)
    daemon.owners = {0: SimpleNamespace(epoch=1, is_serving=True)}
    link = RecordingLink(Address(host="10.0.0.3", port=7000))
    message = Heartbeat(owned=[], config_version=1, leaving=False, in_group=True)
    for _ in range(3):
        dispatcher.on_message(link, message)
        timers.run(300)
    observed = [heartbeat.speeds for heartbeat in link.sent]
    assert observed[0] == ["all"]
    assert len(observed) > 3 and not any(observed[1:])


@pytest.mark.parametrize("in_group_after, hurries", [(False, 2), (True, 1)])
def test_members_join_again_after_a_releasing_peer_has_left(
    timers, in_group_after, hurries
):
    """The cell is assigned only after the store has executed the peer's leave.

    A heartbeat may arrive before that, so members join once more on the next one. A
    peer that merely lost a cell stays in the group, and one join is enough.
    """
    daemon = make_daemon(timers, in_group=True, opened=[])
    join_times_ms = []
    daemon.membership.join_now = lambda: join_times_ms.append(timers.now_ms)
    nothing = lambda *arguments: None
    daemon.owned_cells = SimpleNamespace(on_peer_ownership=nothing)
    daemon.gateway = SimpleNamespace(on_heartbeat=nothing)
    daemon.heard_end_buffer = SimpleNamespace(forward_to_owner=nothing)
    daemon.lease_notices = SimpleNamespace(
        forward_to_owner=nothing, messages_of_owned_cells=lambda: None
    )
    dispatcher = PeerDispatcher(daemon=daemon)
    link = FakeLink(daemon.directory.owner_of(0))

    def heartbeat(*cells, in_group):
        owned = [OwnedCell(cell=cell, epoch=1) for cell in cells]
        message = Heartbeat(owned=owned, config_version=1, in_group=in_group)
        dispatcher.on_message(link, message)

    heartbeat(0, in_group=True)
    heartbeat(in_group=in_group_after)
    timers.run(50)
    left_ms = timers.now_ms
    heartbeat(in_group=in_group_after)
    assert len(join_times_ms) == hurries
    assert (join_times_ms[-1] >= left_ms) is not in_group_after
    timers.run(1_000)
    heartbeat(in_group=in_group_after)
    assert len(join_times_ms) == hurries
