"""Structured logs: one JSON object a line on standard output, never blocking."""

import os
from collections import deque

import orjson
from loguru import logger

from thymefork_net import steady_ms

from .log_budget import LogBudget

__all__ = ["LogWriter", "setup_logs"]

# Lines that the reader of standard output has not taken yet; the oldest go first.
MOST_WAITING_BYTES = 262_144


class LogWriter:
    """Own standard output; drop and count what its reader does not take."""

    def __init__(self, *, descriptor=1, always=None):
        self._descriptor = descriptor
        self._always = always or {}
        self._budget = LogBudget()
        self._waiting = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def sink(self, message):
        """Take a record of loguru."""
        record = message.record
        extra = record["extra"]
        event = extra.get("event", "line")
        level = record["level"].name
        if not self._budget.admits(event, level, steady_ms() / 1000.0):
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
        self._write(orjson.dumps(line, default=str) + b"\n")

    def _write(self, data):
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        while self._waiting_bytes > MOST_WAITING_BYTES:
            self._waiting_bytes -= len(self._waiting.popleft())
            self.dropped += 1
        self.write_waiting()

    def write_waiting(self):
        """Write what the reader takes."""
        while self._waiting:
            data = self._waiting[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # There is nowhere left to report that standard output is gone.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= count
            if count < len(data):
                self._waiting[0] = data[count:]
                return
            self._waiting.popleft()

    def summarize(self):
        """Write how many lines were left out, if any."""
        counts = self._budget.take_left_out()
        if counts or self.dropped:
            line = logger.bind(event="lines_left_out", counts=counts)
            line.bind(dropped=self.dropped).warning("log lines were left out")
            self.dropped = 0
        self.write_waiting()


def setup_logs(level, **always):
    """Write each line as JSON with the fields that were bound; return the writer."""
    writer = LogWriter(always=always)
    logger.remove()
    logger.add(writer.sink, level=level, backtrace=False, diagnose=False, format="")
    return writer


def _trace(exception):
    frames, trace = [], exception.traceback
    while trace is not None:
        code = trace.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{trace.tb_lineno}")
        trace = trace.tb_next
    return frames[-6:]
