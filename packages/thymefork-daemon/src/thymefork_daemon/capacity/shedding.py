"""What an overloaded owner puts off, least important first."""

from enum import IntEnum

__all__ = ["Sheddable", "Shedding"]


class Sheddable(IntEnum):
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
# may cost a step the time of a call, which an owner that drowns costs everybody.
FROM_LOAD = {
    Sheddable.LOG_LINES: 0.5,
    Sheddable.IDLE_LOOKS: 0.6,
    Sheddable.EARLY_ADVICE: 0.8,
}


class Shedding:
    """Tell which work is put off at an owner's present load."""

    def __init__(self, *, load):
        self._load = load

    def sheds(self, kind):
        """Tell whether a kind of work is put off now."""
        return self._load.is_shedding and self._load.value >= FROM_LOAD[kind]

    @property
    def kinds(self):
        """Return all kinds that are put off now, in their order."""
        return [kind for kind in Sheddable if self.sheds(kind)]
