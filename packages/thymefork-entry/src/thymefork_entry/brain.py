"""The component that owns the node: messages in, effects to their components."""

import time

from circuits import BaseComponent, Event, Timer, handler
from loguru import logger

from thymefork_core.node import Node, effects as fx, messages as m
from thymefork_platform import BRAIN, hurry, now, perform

__all__ = ["Brain"]

TICK_S = 0.1
_LOG_READER = "log-reader"
_LOG_WRITER, _LINKS, _WORKERS = "log-writer", "links", "workers"
_FRONT, _LEAVING = "front", "leaving"

_CHANNELS = {
    fx.Append: _LOG_WRITER,
    fx.SaveCheckpoint: _LOG_WRITER,
    fx.SendPeer: _LINKS,
    fx.SendStarts: _WORKERS,
    fx.SendStops: _WORKERS,
    fx.SendThrottle: _WORKERS,
    fx.PollWorker: _WORKERS,
    fx.Proxy: _WORKERS,
    fx.CloseIdle: _WORKERS,
    fx.ReplyAnswers: _FRONT,
    fx.ReplyLookup: _FRONT,
    fx.ReplyApplied: _FRONT,
    fx.ReplyReport: _FRONT,
    fx.Exit: _LEAVING,
}


class _tick(Event):  # noqa: N801 - circuits names events in lower case
    """Let time pass for the node."""


class Brain(BaseComponent):
    """Hand each message to the node and carry its effects out in order."""

    channel = BRAIN

    def init(self, settings, metrics):
        """Make the node of this instance's life."""
        self._metrics = metrics
        moment = now()
        self.node = Node(
            name=settings.name,
            hall=settings.hall,
            incarnation=f"{settings.name}~{moment.wall_ms}",
            limits=settings.limits,
            now=moment,
        )
        Timer(TICK_S, _tick(), BRAIN, persist=True).register(self)

    @handler("_tick")
    def _on_tick(self):
        self._handle(m.Tick())

    @handler("deliver")
    def _on_deliver(self, message):
        began_ns = time.perf_counter_ns()
        self._handle(message)
        if isinstance(message, m.LookupRequest | m.SubmitRequest):
            took_ms = (time.perf_counter_ns() - began_ns) / 1e6
            self._metrics.take(fx.Timing(name="deciding", value_ms=took_ms))

    def _handle(self, message):
        for effect in self.node.handle(message, now()):
            if isinstance(effect, fx.Note):
                self._note(effect)
            elif isinstance(effect, fx.Count | fx.Timing):
                self._metrics.take(effect)
            else:
                self.fire(perform(effect), _CHANNELS[type(effect)])
            if isinstance(effect, fx.Append):
                self.fire(hurry(), _LOG_READER)

    def _note(self, note):
        line = logger.bind(step=note.step, peer=note.peer, subject=note.subject)
        line.log(str(note.level), note.text)
