"""Appends to the platform's log."""

from functools import singledispatchmethod

from circuits import BaseComponent, handler

from thymefork_core.config import ConfigVersion
from thymefork_core.log import Stream, stream_name
from thymefork_core.node import effects as fx, messages as m
from thymefork_wire import RecordCodec, encode_config_version

from .clock import mono_ms
from .events import BRAIN, deliver
from .http_calls import HttpCall
from .http_pool import HttpPool

__all__ = ["LogWriter"]

APPEND_PATIENCE_MS = 1200
OK = 200
UNAVAILABLE = 503


class LogWriter(BaseComponent):
    """Send records and checkpoints; tell the node how each append ended."""

    channel = "log-writer"

    def init(self, address, hall):
        """Prepare a writer for the log at an address."""
        self._address = address
        self._hall = hall
        self.pool = HttpPool(channel="log-writer-http").register(self)
        self.appends = 0

    @handler("perform")
    def _on_perform(self, effect):
        self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect):
        raise TypeError(f"no append for {type(effect).__name__}")

    @_perform.register
    def _append(self, effect: fx.Append):
        batch, stream = effect.batch, effect.stream
        if stream is Stream.CONFIG:
            (version,) = batch.entries
            body = encode_config_version(version)
        else:
            body = RecordCodec.encode(batch)
        self._post(stream, batch.record_id, body, self._settle(stream, batch.record_id))

    @_perform.register
    def _checkpoint(self, effect: fx.SaveCheckpoint):
        if isinstance(effect.state, ConfigVersion):
            body = encode_config_version(effect.state)
            record_id = f"checkpoint:{effect.state.record_id}"
        else:
            body = RecordCodec.encode_state(effect.state)
            record_id = "checkpoint"
        self._post(effect.stream, record_id, body, lambda result: None)

    def _post(self, stream, record_id, body, on_result):
        self.appends += 1
        name = stream_name(stream, self._hall)
        self.pool.request(
            HttpCall(
                address=self._address,
                method="POST",
                target=f"/append/{name}?id={record_id}",
                body=body,
                deadline_mono_ms=mono_ms() + APPEND_PATIENCE_MS,
                on_result=on_result,
            )
        )

    def _settle(self, stream, record_id):
        def on_result(result):
            kind = m.AppendLost
            if result.status == OK:
                kind = m.AppendAcked
            elif result.status == UNAVAILABLE or not result.sent:
                kind = m.AppendRefused
            message = kind(stream=stream, record_id=record_id)
            self.fire(deliver(message), BRAIN)

        return on_result
