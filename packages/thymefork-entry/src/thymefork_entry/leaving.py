"""The last step of a planned stop: callers get their whole answers, then the end."""

from circuits import BaseComponent, Event, handler
from loguru import logger

from thymefork_platform import mono_ms

__all__ = ["Leaving"]

TURNS_TO_BUFFER = 2
SEND_PATIENCE_MS = 10_000


class _look(Event):  # noqa: N801 - circuits names events in lower case
    """Look for answers that are still on their way to a caller."""


class Leaving(BaseComponent):
    """Carry out the node's exit once no answer would be lost by it.

    The node has nothing open when it asks, but the answer that it gave last may still
    be an event in the queue, or bytes that wait for a caller's socket; both are gone
    with the process. The node asks again at each of its ticks.
    """

    channel = "leaving"

    def init(self, front, on_end):
        """Watch a front door; `on_end` takes whether all answers were sent."""
        self._front = front
        self._on_end = on_end
        self._asked_mono_ms = None

    @handler("perform")
    def _on_perform(self, effect):
        if self._asked_mono_ms is None:
            self._asked_mono_ms = mono_ms()
        self.fire(_look(self._front.given, TURNS_TO_BUFFER))

    @handler("_look")
    def _on_look(self, given, turns):
        """Let the queue turn until what was given is in the sockets' buffers.

        An answer is a `response` event first and `write` events after. One that was
        given during the look may not have come that far: the next look sees it.
        """
        if turns:
            self.fire(_look(given, turns - 1))
        elif given == self._front.given and not self._front.has_unsent:
            logger.info("planned stop is complete")
            self._on_end(True)
        elif mono_ms() - self._asked_mono_ms > SEND_PATIENCE_MS:
            logger.warning("planned stop leaves answers that no caller takes")
            self._on_end(False)
