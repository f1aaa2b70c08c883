"""Which speeds are announced to members, and how soon each machine is included.

A member that joined late relies on announcements when it becomes an owner, so all
speeds must be repeated.
"""

import pytest

from thymefork_cells.estimates import REANNOUNCE_MS, LearnedSpeed, SpeedAnnouncements

MACHINES = [f"m{number:03}" for number in range(640)]
INTERVAL_MS = 2_000.0
MAX_COUNT = 24


class KnownSpeeds:
    """Fake of the learned speeds."""

    def __init__(self):
        self.by_machine = dict.fromkeys(MACHINES, 0.4)

    def known_log_slowness(self, machine):
        return self.by_machine[machine]


@pytest.fixture
def speeds():
    return KnownSpeeds()


def announce_for(announcements, rounds, *, from_ms=0.0, between=lambda: None):
    """Return all announcements of a number of rounds."""
    announced = []
    for number in range(rounds):
        announced += announcements.next_batch(
            MACHINES, MAX_COUNT, from_ms + number * INTERVAL_MS
        )
        between()
    return announced


def test_changing_speeds_do_not_delay_other_machines(speeds):
    announcements = SpeedAnnouncements(speeds=speeds)

    def change_speeds():
        for machine in MACHINES[:48]:
            speeds.by_machine[machine] *= -1.0

    announced = announce_for(announcements, 60, between=change_speeds)
    assert {row.machine for row in announced} == set(MACHINES)


def test_unchanged_speeds_are_announced_again(speeds):
    announcements = SpeedAnnouncements(speeds=speeds)
    assert len(announce_for(announcements, 27)) == len(MACHINES)
    assert not announce_for(announcements, 20, from_ms=27 * INTERVAL_MS)
    again = announce_for(announcements, 27, from_ms=REANNOUNCE_MS)
    assert {row.machine for row in again} == set(MACHINES)


def test_inherited_speeds_are_announced(speeds):
    announcements = SpeedAnnouncements(speeds=speeds)
    announcements.inherit([LearnedSpeed(machine="m001", log_slowness=0.4)])
    speeds.by_machine = dict.fromkeys(MACHINES, None) | {"m001": 0.4}
    assert [row.machine for row in announce_for(announcements, 1)] == ["m001"]


def test_last_announced_speed_is_repeated_while_uncertain(speeds):
    """An idle cell learns nothing, but its machines stay the same."""
    announcements = SpeedAnnouncements(speeds=speeds)
    announce_for(announcements, 27)
    speeds.by_machine = dict.fromkeys(MACHINES, None)
    again = announce_for(announcements, 27, from_ms=REANNOUNCE_MS)
    assert {row.log_slowness for row in again} == {0.4}
    assert len(again) == len(MACHINES)


def test_average_machines_are_not_announced(speeds):
    speeds.by_machine = dict.fromkeys(MACHINES, 0.1)
    assert not announce_for(SpeedAnnouncements(speeds=speeds), 60)


def test_removed_machines_are_forgotten(speeds):
    announcements = SpeedAnnouncements(speeds=speeds)
    announce_for(announcements, 27)
    announcements.next_batch(MACHINES[:3], MAX_COUNT, 60_000.0)
    assert len(announcements._announced) == 3
