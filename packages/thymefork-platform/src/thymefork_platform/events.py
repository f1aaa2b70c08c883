"""The two events by which components talk: messages in, effects out."""

from circuits import Event

__all__ = ["BRAIN", "SWEEP_S", "deliver", "hurry", "perform", "sweep"]

BRAIN = "brain"
SWEEP_S = 0.25


class deliver(Event):  # noqa: N801 - circuits names events in lower case
    """Bring a message to the node."""


class perform(Event):  # noqa: N801
    """Ask a component to carry out an effect."""


class hurry(Event):  # noqa: N801
    """Ask for a read of the log now: a record of this instance is on its way."""


class sweep(Event):  # noqa: N801
    """Let deadlines of calls and senders pass; one timer serves all."""
