"""The two events by which components talk: messages in, effects out."""

from circuits import Event

__all__ = ["BRAIN", "deliver", "perform"]

BRAIN = "brain"


class deliver(Event):  # noqa: N801 - circuits names events in lower case
    """Bring a message to the node."""


class perform(Event):  # noqa: N801
    """Ask a component to carry out an effect."""
