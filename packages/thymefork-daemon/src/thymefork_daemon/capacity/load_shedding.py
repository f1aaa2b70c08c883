"""What an overloaded owner puts off, least important first."""

from enum import IntEnum

__all__ = ["LoadShedder", "SheddableWork"]


class SheddableWork(IntEnum):
    """Name what can wait, in the order in which it is put off.

    Whatever keeps a promise is none of these and is never put off: renewals of leases,
    stops, appends, starts, looks at workers with runs, accepting and answering callers.
    """

    # Lines that come with every task or worker: nothing decides by them, and others
    # tell what became of a job.
    LOG_LINES = 1
    # Acknowledging ends to a worker with nothing else: it keeps them until then.
    IDLE_LOOKS = 2
    # Tickets of a step whose turn has not come; it may need them in a while.
    EARLY_ADVICE = 3


# The load from which each kind is put off. The first costs nobody anything; the last
# may cost a step the time of a call, which an overloaded owner costs everybody.
SHED_THRESHOLDS = {
    SheddableWork.LOG_LINES: 0.6,
    SheddableWork.IDLE_LOOKS: 0.7,
    SheddableWork.EARLY_ADVICE: 0.8,
}
# A kind is taken up again at this share of the load from which it is put off, so that
# what it saves does not bring it back at once.
RESUME_FRACTION = 0.6


class LoadShedder:
    """Tell which work is put off at an owner's present load, with hysteresis."""

    def __init__(self, *, load):
        self._load = load
        self._kinds = set()

    def sheds(self, kind):
        """Tell whether a kind of work is put off now."""
        return kind in self._kinds

    @property
    def kinds(self):
        """Return all kinds that are put off now, in their order."""
        return sorted(self._kinds)

    def update(self):
        """Take up or put off what the load, sampled a moment ago, asks for."""
        self._kinds = {
            kind
            for kind, threshold in SHED_THRESHOLDS.items()
            if self._load.value >= self._effective_threshold(kind, threshold)
        }

    def _effective_threshold(self, kind, threshold):
        return threshold * RESUME_FRACTION if kind in self._kinds else threshold
