"""Shedding of lower-priority work by an overloaded owner."""

from enum import IntEnum

__all__ = ["LoadShedder", "SheddableWork"]


class SheddableWork(IntEnum):
    """Kinds of work that can be shed, in the order in which they are.

    Lease renewals, stops, starts, appends, polls of workers with runs and requests of
    callers are never shed.
    """

    # Routine log lines of each task or worker; the outcome of a job is logged
    # elsewhere.
    LOG_LINES = 1
    # Acknowledgements of run ends to workers without runs; they keep the ends until
    # then.
    IDLE_LOOKS = 2
    # Tickets for steps that are not due yet.
    EARLY_ADVICE = 3


# Load from which each kind is shed: the cheapest first. The last may delay a step by
# one call to the advice service.
SHED_THRESHOLDS = {
    SheddableWork.LOG_LINES: 0.6,
    SheddableWork.IDLE_LOOKS: 0.7,
    SheddableWork.EARLY_ADVICE: 0.8,
}
# A kind resumes at this fraction of its threshold: hysteresis, since shedding itself
# lowers the load.
RESUME_FRACTION = 0.6


class LoadShedder:
    """Select the kinds of work to shed at the current load, with hysteresis."""

    def __init__(self, *, load):
        self._load = load
        self._kinds = set()

    def sheds(self, kind):
        """Return whether a kind of work is shed now."""
        return kind in self._kinds

    @property
    def kinds(self):
        """Return all kinds that are shed now, in their order."""
        return sorted(self._kinds)

    def update(self):
        """Update the shed kinds from the latest load."""
        self._kinds = {
            kind
            for kind, threshold in SHED_THRESHOLDS.items()
            if self._load.value >= self._effective_threshold(kind, threshold)
        }

    def _effective_threshold(self, kind, threshold):
        return threshold * RESUME_FRACTION if kind in self._kinds else threshold
