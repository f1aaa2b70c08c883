"""What members of the group are told of speeds, and how soon each machine comes up.

The load: 640 machines, 24 told at a time, each 2 s. A member that came late begins as
an owner with what it was told, so all that holds has to come up again within minutes.
"""

import pytest

from thymefork_cells.estimates import REANNOUNCE_MS, LearnedSpeed, SpeedAnnouncements

MACHINES = [f"m{number:03}" for number in range(640)]
TELL_MS = 2_000.0
MOST = 24


class KnownSpeeds:
    """Stand in for what is learned."""

    def __init__(self):
        self.by_machine = dict.fromkeys(MACHINES, 0.4)

    def known_log_slowness(self, machine):
        return self.by_machine[machine]


@pytest.fixture
def speeds():
    return KnownSpeeds()


def tell_for(news, rounds, *, from_ms=0.0, between=lambda: None):
    """Return all that was told in so many rounds."""
    told = []
    for number in range(rounds):
        told += news.next_batch(MACHINES, MOST, from_ms + number * TELL_MS)
        between()
    return told


def test_machines_that_move_all_the_time_hold_up_no_others(speeds):
    news = SpeedAnnouncements(speeds=speeds)

    def move():
        for machine in MACHINES[:48]:
            speeds.by_machine[machine] *= -1.0

    told = tell_for(news, 60, between=move)
    assert {row.machine for row in told} == set(MACHINES)


def test_what_still_holds_is_told_again(speeds):
    news = SpeedAnnouncements(speeds=speeds)
    assert len(tell_for(news, 27)) == len(MACHINES)
    assert not tell_for(news, 20, from_ms=27 * TELL_MS)
    again = tell_for(news, 27, from_ms=REANNOUNCE_MS)
    assert {row.machine for row in again} == set(MACHINES)


def test_what_was_inherited_is_told_on(speeds):
    news = SpeedAnnouncements(speeds=speeds)
    news.inherit([LearnedSpeed(machine="m001", log_slowness=0.4)])
    speeds.by_machine = dict.fromkeys(MACHINES, None) | {"m001": 0.4}
    assert [row.machine for row in tell_for(news, 1)] == ["m001"]


def test_what_was_told_holds_while_a_machine_is_doubtful(speeds):
    """A cell without work for a while learns nothing; its machines are the same."""
    news = SpeedAnnouncements(speeds=speeds)
    tell_for(news, 27)
    speeds.by_machine = dict.fromkeys(MACHINES, None)
    again = tell_for(news, 27, from_ms=REANNOUNCE_MS)
    assert {row.log_slowness for row in again} == {0.4}
    assert len(again) == len(MACHINES)


def test_ordinary_machines_are_no_news(speeds):
    speeds.by_machine = dict.fromkeys(MACHINES, 0.1)
    assert not tell_for(SpeedAnnouncements(speeds=speeds), 60)


def test_machines_that_are_gone_are_forgotten(speeds):
    news = SpeedAnnouncements(speeds=speeds)
    tell_for(news, 27)
    news.next_batch(MACHINES[:3], MOST, 60_000.0)
    assert len(news._announced) == 3
