"""Choose which machine speeds to announce to the other members, and when again."""

from math import inf, log

from attrs import frozen

from .worker_speeds import LearnedSpeed

__all__ = ["REANNOUNCE_MS", "SpeedAnnouncements"]

# Logarithm of the change in slowness that is announced: it affects placement.
NOTABLE_CHANGE = log(1.14)
# Interval after which a speed is announced again, for members that joined later.
# Members forget a speed after a few times as long.
REANNOUNCE_MS = 100_000.0


@frozen(kw_only=True)
class _Announcement:
    log_slowness: float = 0.0
    at_ms: float = -inf


NEVER_ANNOUNCED = _Announcement()


class SpeedAnnouncements:
    """Choose the next announcements: changed speeds, and those announced long ago.

    For a machine whose speed became uncertain, the last announced value is repeated;
    the next owner corrects it after a few runs.
    """

    def __init__(self, *, speeds):
        self._speeds = speeds
        self._announced = {}

    def inherit(self, speeds):
        """Take over the speeds that a previous owner announced."""
        for speed in speeds:
            self._announced[speed.machine] = _Announcement(
                log_slowness=speed.log_slowness
            )

    def next_batch(self, machines, max_count, now_ms):
        """Return up to `max_count` announcements, the longest overdue first.

        Machines that are not in `machines` are forgotten.
        """
        self._announced = {
            m: self._announced[m] for m in machines if m in self._announced
        }
        due = [machine for machine in machines if self._is_due(machine, now_ms)]
        due.sort(
            key=lambda machine: self._announced.get(machine, NEVER_ANNOUNCED).at_ms
        )
        return [self._announce(machine, now_ms) for machine in due[:max_count]]

    def _is_due(self, machine, now_ms):
        last_sent = self._announced.get(machine, NEVER_ANNOUNCED)
        if machine in self._announced and now_ms - last_sent.at_ms >= REANNOUNCE_MS:
            return True
        known = self._speeds.known_log_slowness(machine)
        return (
            known is not None and abs(known - last_sent.log_slowness) >= NOTABLE_CHANGE
        )

    def _announce(self, machine, now_ms):
        known = self._speeds.known_log_slowness(machine)
        if known is None:
            known = self._announced[machine].log_slowness
        self._announced[machine] = _Announcement(log_slowness=known, at_ms=now_ms)
        return LearnedSpeed(machine=machine, log_slowness=known)
