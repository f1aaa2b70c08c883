"""What the members of the group are told of machines' speeds, and when again."""

from math import inf, log

from attrs import frozen

from .worker_speeds import LearnedSpeed

__all__ = ["REANNOUNCE_MS", "SpeedAnnouncements"]

# What has moved by this factor since it was told changes where tasks go.
NOTABLE = log(1.14)
# Members that came later are told within this time. They forget what they were told
# after several times as long.
REANNOUNCE_MS = 100_000.0


@frozen(kw_only=True)
class _Told:
    log_slowness: float = 0.0
    at_ms: float = -inf


NEVER_TOLD = _Told()


class SpeedAnnouncements:
    """Choose what to tell next: what has changed, and what was told long ago.

    Of a machine that became doubtful again, what was told last is repeated: whoever
    owns the cell next learns it better by a few runs.
    """

    def __init__(self, *, speeds):
        self._speeds = speeds
        self._announced = {}

    def inherit(self, speeds):
        """Tell on what was told by an earlier owner."""
        for speed in speeds:
            self._announced[speed.machine] = _Told(log_slowness=speed.log_slowness)

    def next_batch(self, machines, most, now_ms):
        """Return the news of so many machines, those first that were told longest ago.

        Machines that are there no more are forgotten.
        """
        self._announced = {
            m: self._announced[m] for m in machines if m in self._announced
        }
        due = [machine for machine in machines if self._is_due(machine, now_ms)]
        due.sort(key=lambda machine: self._announced.get(machine, NEVER_TOLD).at_ms)
        return [self._tell(machine, now_ms) for machine in due[:most]]

    def _is_due(self, machine, now_ms):
        told = self._announced.get(machine, NEVER_TOLD)
        if machine in self._announced and now_ms - told.at_ms >= REANNOUNCE_MS:
            return True
        known = self._speeds.known_log_slowness(machine)
        return known is not None and abs(known - told.log_slowness) >= NOTABLE

    def _tell(self, machine, now_ms):
        known = self._speeds.known_log_slowness(machine)
        if known is None:
            known = self._announced[machine].log_slowness
        self._announced[machine] = _Told(log_slowness=known, at_ms=now_ms)
        return LearnedSpeed(machine=machine, log_slowness=known)
