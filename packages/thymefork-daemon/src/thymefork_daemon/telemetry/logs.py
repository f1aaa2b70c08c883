"""Structured logs on standard output: one JSON object a line, without blocking."""

import os
from collections import deque

import orjson
from loguru import logger

from thymefork_net import steady_ms

from .log_rate_limiter import LogRateLimiter

__all__ = ["LogWriter", "configure_logging"]

# Lines that the reader has not taken yet; the oldest are dropped first.
MAX_BUFFERED_BYTES = 262_144


class LogWriter:
    """Write lines to a descriptor; drop and count those its reader does not take."""

    def __init__(self, *, descriptor=1, common_fields=None):
        self._descriptor = descriptor
        self._always = common_fields or {}
        self._budget = LogRateLimiter()
        self._buffer = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def sink(self, message):
        """Format and write a loguru record."""
        record = message.record
        extra = record["extra"]
        event = extra.get("event", "line")
        level = record["level"].name
        if not self._budget.allows(event, level, steady_ms() / 1000.0):
            return
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "steady_ms": round(steady_ms()),
            "level": level,
            **self._always,
            **extra,
            "text": record["message"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
            line["trace"] = _trace(record["exception"])
        self._write(_encode(line) + b"\n")

    def _write(self, data):
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        while self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffered_bytes -= len(self._buffer.popleft())
            self.dropped += 1
        self.flush_buffer()

    def flush_buffer(self):
        """Write buffered lines as far as the reader takes them."""
        while self._buffer:
            data = self._buffer[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is gone, so there is nowhere to report it.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= count
            if count < len(data):
                self._buffer[0] = data[count:]
                return
            self._buffer.popleft()

    def summarize(self):
        """Log how many lines were suppressed or dropped, if any."""
        counts = self._budget.take_suppressed()
        if counts or self.dropped:
            line = logger.bind(event="lines_left_out", counts=counts)
            line.bind(dropped=self.dropped).warning("log lines were not written")
            self.dropped = 0
        self.flush_buffer()


def configure_logging(level, **common_fields):
    """Log each line as JSON with its bound fields; return the writer."""
    writer = LogWriter(common_fields=common_fields)
    logger.remove()
    logger.add(writer.sink, level=level, backtrace=False, diagnose=False, format="")
    return writer


def _encode(line):
    """Encode a line; fields that JSON can't hold become texts.

    Such are numbers beyond 64 bits and texts with lone surrogates.
    """
    try:
        return orjson.dumps(line, default=str)
    except TypeError:
        fields = {name: _encodable(value) for name, value in line.items()}
        return orjson.dumps(fields, default=str)


def _encodable(value):
    try:
        orjson.dumps(value, default=str)
    except TypeError:
        return ascii(value)
    return value


def _trace(exception):
    frames, trace = [], exception.traceback
    while trace is not None:
        code = trace.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}")
        trace = trace.tb_next
    return frames[-6:]
