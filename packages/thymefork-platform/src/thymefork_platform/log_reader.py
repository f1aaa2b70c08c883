"""Reading the platform's log live, from the newest checkpoints on."""

import orjson
from circuits import BaseComponent, handler
from loguru import logger

from thymefork_core.exceptions import ThymeforkError
from thymefork_core.log import Stream, stream_name
from thymefork_core.node import messages as m
from thymefork_wire import RecordCodec, decode_config_version

from .clock import mono_ms
from .events import BRAIN, deliver
from .http_calls import HttpCall
from .http_pool import HttpPool

__all__ = ["LogReader"]

WAIT_MS = 700
PATIENCE_MS = 1400
BACKOFF_MS = 200
LINGER_MS = 250
OK = 200
NOT_FOUND = 404
READ_STREAMS = (Stream.CONFIG, Stream.ACCEPTED, Stream.HALL)
CHECKPOINTS = (Stream.HALL_CHECKPOINT, Stream.ACCEPTED_CHECKPOINT)
CHECKPOINT_MARK = "checkpoint:"


class LogReader(BaseComponent):
    """Keep one long read open; hand records to the node in order."""

    channel = "log-reader"

    def init(self, address, hall, is_waiting):
        """Prepare a reader; `is_waiting` tells whether records are waited for."""
        self._is_waiting = is_waiting
        self._address = address
        self._hall = hall
        self._positions = dict.fromkeys(READ_STREAMS, 0)
        self._found = {}
        self._due_mono_ms = None
        self._has_failed = False
        self.pool = HttpPool(channel="log-reader-http").register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._read_checkpoints()

    @handler("sweep", channel="*")
    def _on_sweep(self):
        """Read again when a pause is over."""
        if self._due_mono_ms is not None and mono_ms() >= self._due_mono_ms:
            self._go_on()

    @handler("hurry")
    def _on_hurry(self):
        """Cut a pause short, but not the one after a failure."""
        if self._due_mono_ms is not None and not self._has_failed:
            self._go_on()

    def _go_on(self):
        self._due_mono_ms = None
        if len(self._found) < len(CHECKPOINTS):
            self._read_checkpoints()
        else:
            self._read()

    def _call(self, target, on_result):
        self.pool.request(
            HttpCall(
                address=self._address,
                method="GET",
                target=target,
                deadline_mono_ms=mono_ms() + PATIENCE_MS,
                on_result=on_result,
            )
        )

    # Checkpoints -------------------------------------------------------------

    def _read_checkpoints(self):
        self._found = {}
        for stream in CHECKPOINTS:
            name = stream_name(stream, self._hall)
            self._call(f"/newest/{name}", self._checkpoint_taker(stream))

    def _checkpoint_taker(self, stream):
        def on_result(result):
            if result.status == OK:
                body = orjson.loads(result.body)["body"]
                self._found[stream] = RecordCodec.decode_state(stream, body)
            elif result.status == NOT_FOUND:
                self._found[stream] = None
            elif stream is CHECKPOINTS[0]:
                self._failed()
            if len(self._found) == len(CHECKPOINTS):
                self._checkpoints_read()

        return on_result

    def _checkpoints_read(self):
        hall, accepted = (self._found[stream] for stream in CHECKPOINTS)
        for stream, state in ((Stream.HALL, hall), (Stream.ACCEPTED, accepted)):
            if state is not None:
                position = max(self._positions[stream], state.next_offset)
                self._positions[stream] = position
        self._tell(m.CheckpointRead(hall=hall, accepted=accepted))
        self._read()

    # Records -----------------------------------------------------------------

    def _read(self):
        places = "&".join(
            f"{stream_name(stream, self._hall)}={offset}"
            for stream, offset in self._positions.items()
        )
        began_mono_ms = mono_ms()
        self._call(
            f"/read?wait_ms={WAIT_MS}&{places}",
            lambda result: self._on_read(result, began_mono_ms),
        )

    def _on_read(self, result, began_mono_ms):
        if result.status != OK:
            self._failed()
            return
        self._has_failed = False
        found = orjson.loads(result.body)
        for stream in READ_STREAMS:
            part = found.get(stream_name(stream, self._hall))
            if part is None:
                end = self._positions[stream]
                part = {"first": 0, "next": end, "records": ()}
            self._take(stream, part, began_mono_ms)
        if self._is_waiting():
            self._read()
        else:
            self._due_mono_ms = mono_ms() + LINGER_MS

    def _take(self, stream, part, began_mono_ms):
        first, after, rows = part["first"], part["next"], part["records"]
        if after < self._positions[stream]:
            logger.warning("log restarted: {} ends at {}", stream, after)
            self._tell(m.LogReset(stream=stream))
            self._positions[stream] = 0
            return
        if first > self._positions[stream]:
            logger.warning("log has forgotten {} before {}", stream, first)
            self._positions[stream] = first
            if stream is not Stream.CONFIG:
                self._found = {}
        at_end = not rows or rows[-1][0] + 1 == after
        if rows:
            self._positions[stream] = rows[-1][0] + 1
        if stream is Stream.CONFIG:
            self._tell_configs(rows, began_mono_ms, at_end)
        else:
            self._tell_records(stream, rows, began_mono_ms, at_end)

    def _tell_records(self, stream, rows, began_mono_ms, at_end):
        records = []
        for offset, record_id, body in rows:
            try:
                records.append(RecordCodec.decode(offset, record_id, body))
            except ThymeforkError as failure:
                logger.warning("skipped: {}", failure)
        self._tell(
            m.LogRead(
                stream=stream,
                records=tuple(records),
                began_mono_ms=began_mono_ms,
                at_end=at_end,
            )
        )

    def _tell_configs(self, rows, began_mono_ms, at_end):
        versions, checkpoints = [], []
        for _, record_id, body in rows:
            try:
                version = decode_config_version(orjson.dumps(body))
            except ThymeforkError as failure:
                logger.warning("skipped: {}", failure)
                continue
            is_checkpoint = record_id.startswith(CHECKPOINT_MARK)
            (checkpoints if is_checkpoint else versions).append(version)
        self._tell(
            m.ConfigRead(
                versions=tuple(versions),
                checkpoints=tuple(checkpoints),
                began_mono_ms=began_mono_ms,
                at_end=at_end,
            )
        )

    def _failed(self):
        self._has_failed = True
        self._tell(m.LogFailed())
        self._due_mono_ms = mono_ms() + BACKOFF_MS

    def _tell(self, message):
        self.fire(deliver(message), BRAIN)
