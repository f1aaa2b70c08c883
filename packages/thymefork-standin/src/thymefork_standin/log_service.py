"""A stand-in of the platform's append-only log."""

import time
from collections import deque

from attrs import Factory, define

from .json_server import JsonServer

__all__ = ["LogService"]

MOST_ROWS = 500


@define
class _Stream:
    """Hold the retained rows of a stream."""

    first: int = 0
    next: int = 0
    rows: deque = Factory(deque)

    def append(self, record_id, body):
        """Add a row and return its offset."""
        offset = self.next
        self.rows.append((offset, record_id, body, time.time()))
        self.next += 1
        return offset

    def trim(self, most_rows, most_age_s):
        """Forget rows past the retention."""
        oldest_s = time.time() - most_age_s
        while self.rows and (len(self.rows) > most_rows or self.rows[0][3] < oldest_s):
            self.rows.popleft()
        self.first = self.rows[0][0] if self.rows else self.next

    def after(self, offset):
        """Return rows from an offset on."""
        skip = max(0, offset - self.first)
        return [list(self.rows[i][:3]) for i in range(skip, len(self.rows))][:MOST_ROWS]


class LogService(JsonServer):
    """Keep streams in memory, with switches for failures."""

    def init(self, host, port, retention_rows=100_000, retention_s=3600.0):
        """Listen at a place with a limited retention."""
        super().init(host, port)
        self._streams = {}
        self._readers = []
        self._retention = (retention_rows, retention_s)
        self._outage = ""
        self._slow_s = 0.0
        self._lose = 0
        self._lose_match = ""
        self.appends = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def _stream(self, name):
        return self._streams.setdefault(name, _Stream())

    def _is_out(self, answer):
        if self._outage == "refuse":
            self.reply(answer, {"error": "outage"}, status=503)
        return self._outage in ("refuse", "hang")

    def post_append(self, answer, parts, query, body):
        """Append a record."""
        if self._outage == "appends":
            self.reply(answer, {"error": "outage"}, status=503)
            return
        if self._is_out(answer):
            return
        stream = self._stream(parts[0])
        offset = stream.append(query["id"], body)
        stream.trim(*self._retention)
        self.appends += 1
        self.bytes_in += len(str(body))
        self._wake()
        if self._lose > 0 and self._lose_match in f"{parts[0]} {body}":
            self._lose -= 1
            self.cut(answer)
            return
        self._later(answer, {"offset": offset})

    def _later(self, answer, document):
        if self._slow_s:
            self.later.call(self._slow_s, lambda: self.reply(answer, document))
        else:
            self.reply(answer, document)

    def get_read(self, answer, parts, query, body):
        """Read streams from given offsets; wait a while if nothing is new.

        A stream that ends at the given offset is left out of the answer.
        """
        if self._is_out(answer):
            return
        wait_s = int(query.pop("wait_ms", "0")) / 1000
        wanted = {name: int(offset) for name, offset in query.items()}
        reader = (answer, wanted, time.monotonic() + wait_s)
        if self._has_news(wanted) or not wait_s:
            self._serve(reader)
            return
        self._readers.append(reader)
        self.later.call(wait_s, self._wake)

    def _has_news(self, wanted):
        return any(self._stream(n).next != offset for n, offset in wanted.items())

    def _wake(self):
        """Serve waiting readers that have news or have waited long enough."""
        waiting, self._readers = self._readers, []
        now_s = time.monotonic()
        for reader in waiting:
            if self._outage == "hang":
                continue
            if self._has_news(reader[1]) or now_s >= reader[2] - 0.001:
                self._serve(reader)
            else:
                self._readers.append(reader)

    def _serve(self, reader):
        answer, wanted, _ = reader
        if self._is_out(answer):
            return
        found = {}
        for name, offset in wanted.items():
            stream = self._stream(name)
            stream.trim(*self._retention)
            if stream.next == offset:
                continue
            found[name] = {
                "first": stream.first,
                "next": stream.next,
                "records": stream.after(offset),
            }
        self._later(answer, found)

    def get_newest(self, answer, parts, query, body):
        """Return the newest record of a stream."""
        if self._is_out(answer):
            return
        rows = self._stream(parts[0]).rows
        if not rows:
            self.reply(answer, {"error": "empty"}, status=404)
        else:
            offset, record_id, row, _ = rows[-1]
            self.reply(answer, {"offset": offset, "id": record_id, "body": row})

    def post_switch(self, answer, parts, query, body):
        """Set failures: outage, slowness, lost answers, lost tails."""
        self._outage = body.get("outage", self._outage)
        self._slow_s = body.get("slow_ms", self._slow_s * 1000) / 1000
        self._lose = body.get("lose_answers", self._lose)
        self._lose_match = body.get("lose_match", self._lose_match)
        if "retention_rows" in body:
            self._retention = (body["retention_rows"], self._retention[1])
        for name, rows in body.get("drop_tail", {}).items():
            stream = self._stream(name)
            for _ in range(min(rows, len(stream.rows))):
                stream.rows.pop()
            stream.next = stream.rows[-1][0] + 1 if stream.rows else stream.first
        if body.get("restart"):
            self._streams.clear()
        self.reply(answer, {"ok": True})
        self._wake()

    def get_stats(self, answer, parts, query, body):
        """Tell how much was appended."""
        ends = {name: stream.next for name, stream in self._streams.items()}
        self.reply(
            answer,
            {"appends": self.appends, "bytes_in": self.bytes_in, "ends": ends},
        )

    def get_rows(self, answer, parts, query, body):
        """Return the retained rows of a stream, for tests."""
        self.reply(answer, self._stream(parts[0]).after(int(query.get("from", 0))))
