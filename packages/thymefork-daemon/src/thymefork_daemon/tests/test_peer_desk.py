"""Messages of other instances, handed on to whom they are for."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import peer_desk as peer_desk_module
from thymefork_daemon.peer_desk import PeerDesk
from thymefork_net.peers import AdviceReply, Hello

from .fakes import FakeMetrics

CLOCKED = (peer_desk_module,)


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
    desk = PeerDesk(daemon=daemon)
    desk.on_message(None, reply(9))
    assert daemon.metrics.counts == [("odd_answers", "advice_not_awaited")]


def test_an_answer_reaches_the_owner_that_asked(daemon):
    desk = PeerDesk(daemon=daemon)
    desk.on_message(None, reply(8))
    assert (daemon.owners[0].taken, daemon.owners[1].taken) == ([], [8])
    assert not daemon.metrics.counts


def test_all_owners_hear_of_links_though_one_is_lost_by_it(daemon):
    """As with answers: what follows from a broken link may lose a cell."""
    told = []
    for cell in (0, 1, 2):
        daemon.owners[cell] = SimpleNamespace(
            on_links=lambda cell=cell: told.append(cell) or daemon.owners.pop(cell)
        )
    PeerDesk(daemon=daemon).on_message(None, Hello(instance="edge-0"))
    assert told == [0, 1, 2]
