"""Execution of the effects of a cell's decisions."""

from functools import singledispatchmethod

from loguru import logger

from thymefork_cells import effects as fx
from thymefork_net import steady_ms

from ..capacity import SheddableWork
from ..telemetry import ROUTINE_EVENTS

__all__ = ["EffectExecutor"]


class EffectExecutor:
    """Send replies, calls and commands, and write logs and metrics, for a cell."""

    def __init__(
        self,
        *,
        cell_index,
        metrics,
        advice_dispatcher,
        command_sender,
        on_ends_stored,
        announce_ends,
        announce_leases,
        announce_speeds,
        sheds=lambda kind: False,
        send_limit_part_message=None,
    ):
        self._cell_index = cell_index
        self._metrics = metrics
        self._advice_dispatcher = advice_dispatcher
        self._command_sender = command_sender
        self._on_ends_stored = on_ends_stored
        self._announce_ends = announce_ends
        self._announce_leases = announce_leases
        self._sheds = sheds
        self._announce_speeds = announce_speeds
        self._send_limit_part_message = send_limit_part_message

    def execute(self, effects):
        """Execute effects; a failed one does not affect the others."""
        for effect in effects:
            try:
                self._execute(effect)
            except Exception:
                line = logger.opt(exception=True).bind(event="effect_failed")
                line.bind(cell=self._cell_index).error(
                    "effect failed: {}", type(effect).__name__
                )

    @singledispatchmethod
    def _execute(self, effect):
        raise TypeError(f"no handler for effect {type(effect).__name__}")

    @_execute.register
    def _reply(self, effect: fx.Reply):
        effect.reply_to(effect)

    @_execute.register
    def _note(self, effect: fx.Note):
        if effect.event in ROUTINE_EVENTS and self._sheds(SheddableWork.LOG_LINES):
            self._metrics.count("owner_shed", "log_lines")
            return
        line = logger.bind(event=effect.event, cell=self._cell_index, **effect.fields)
        line.log(effect.level, effect.event)

    @_execute.register
    def _count(self, effect: fx.Count):
        self._metrics.count(effect.name, effect.reason, effect.amount)

    @_execute.register
    def _observe(self, effect: fx.Observe):
        self._metrics.observe(effect.name, effect.value_ms, kind=effect.kind)

    @_execute.register
    def _request_advice(self, effect: fx.RequestAdvice):
        self._advice_dispatcher.ask(effect)

    @_execute.register
    def _ends_stored(self, effect: fx.EndsStored):
        self._on_ends_stored(effect.worker, effect.last_end, now_ms=steady_ms())

    @_execute.register
    def _on_announce_ends(self, effect: fx.AnnounceEnds):
        self._announce_ends(effect.ends)

    @_execute.register
    def _on_announce_leases(self, effect: fx.AnnounceLeases):
        self._announce_leases(effect.notice)

    @_execute.register
    def _on_announce_speeds(self, effect: fx.AnnounceSpeeds):
        self._announce_speeds(effect.speeds)

    @_execute.register
    def _exchange_parts(
        self, effect: fx.RequestParts | fx.GrantParts | fx.ReportHeldParts
    ):
        self._send_limit_part_message(effect)

    @_execute.register
    def _command(self, effect: fx.StartRun | fx.StopRun | fx.PaceRun | fx.PollWorker):
        self._command_sender.send(effect)
