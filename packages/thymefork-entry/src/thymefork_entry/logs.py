"""Structured logs: one JSON object a line on standard error."""

import sys

import orjson
from loguru import logger

__all__ = ["setup_logs"]


def setup_logs(level, **always):
    """Write each line as JSON with the fields that were bound."""

    def sink(message):
        record = message.record
        line = {
            "at": record["time"].isoformat(),
            "level": record["level"].name,
            "text": record["message"],
            **always,
            **{k: v for k, v in record["extra"].items() if v},
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        sys.stderr.write(orjson.dumps(line, default=str).decode() + "\n")
        sys.stderr.flush()

    logger.remove()
    logger.add(sink, level=level, backtrace=False, diagnose=False)
