"""A stand-in of a worker: it does what it is told and refuses nothing."""

import time

from attrs import define

from .high_water import HighWater
from .json_server import JsonServer

__all__ = ["Worker"]

TICK_S = 0.02
STREAM_PART_S = 0.2
PAYLOAD_FAIL = "fail"
PAYLOAD_USES_MB = "uses_mb:"


def _now_ms():
    return time.time_ns() // 1_000_000


@define(kw_only=True)
class _Attempt:
    """Hold a running attempt."""

    attempt_id: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    ends_at_ms: float
    payload: str


class Worker(JsonServer):
    """Run attempts under leases and serve the endpoint; write everything down."""

    def init(self, host, port, name="", usage_lag_s=1.0, service_ms=2.0):
        """Listen at a place; nothing runs yet."""
        super().init(host, port)
        self._name = name
        self._usage_lag_s = usage_lag_s
        self._service_s = service_ms / 1000
        self._attempts = {}
        self._finished = {}
        self._lease_until_ms = 0
        self._polls = []
        self._usage = {}
        self._endpoint_socks = set()
        self._streams = {}
        self._lookups = 0
        self._leaving = False
        self._fail_all = False
        self._lose_starts = 0
        self.high = HighWater()
        self.later.call(TICK_S, self._beat)

    # Control -----------------------------------------------------------------

    def post_control(self, answer, parts, query, body):
        """Start, stop or poll."""
        _ROUTES[parts[0]](self, answer, body)

    def _take_starts(self, answer, body):
        now_ms = _now_ms()
        self._lease_until_ms = max(self._lease_until_ms, body["lease_until_ms"])
        for order in body["starts"]:
            self._begin(order, body["lease_until_ms"], now_ms)
        if self._lose_starts > 0:
            self._lose_starts -= 1
            self.cut(answer)
            return
        self.reply(answer, {"started_at_ms": now_ms})

    def _begin(self, order, lease_until_ms, now_ms):
        attempt_id = order["attempt_id"]
        if lease_until_ms < now_ms:
            self.high.write("lease_over_at_start", attempt_id)
            return
        ends_at_ms = now_ms + order["run_ms"] if order["run_ms"] else float("inf")
        self._attempts[attempt_id] = _Attempt(
            attempt_id=attempt_id,
            cpu_milli=order["cpu_milli"],
            memory_mb=order["memory_mb"],
            accelerators=order["accelerators"],
            ends_at_ms=ends_at_ms,
            payload=order["payload"],
        )
        self.high.write("start", attempt_id)
        if order["payload"].startswith(PAYLOAD_USES_MB):
            peak_mb = int(order["payload"].removeprefix(PAYLOAD_USES_MB))
            self._usage[attempt_id] = (peak_mb, time.monotonic())
        self.high.see_running(self._attempts.values())
        if self._fail_all or order["payload"] == PAYLOAD_FAIL:
            self._end(attempt_id, exit_code=1)

    def _take_stops(self, answer, body):
        for attempt_id in body["attempt_ids"]:
            if attempt_id in self._attempts:
                if body["checkpoint"]:
                    self.high.write("checkpoint", attempt_id)
                self._end(attempt_id, stopped=True)
        self.reply(answer, {"ok": True})

    def _throttle(self, answer, body):
        attempt = self._attempts.get(body["attempt_id"])
        if attempt is None:
            self.reply(answer, {"error": "not running"}, status=404)
            return
        left_ms = attempt.ends_at_ms - _now_ms()
        attempt.ends_at_ms += left_ms * (attempt.cpu_milli / body["cpu_milli"] - 1)
        attempt.cpu_milli = body["cpu_milli"]
        self.high.write("throttle", attempt.attempt_id)
        self.reply(answer, {"ok": True})

    def _take_poll(self, answer, body):
        self._lease_until_ms = max(self._lease_until_ms, body["lease_until_ms"])
        for attempt_id in body["forget"]:
            self._finished.pop(attempt_id, None)
        if self._finished or not body["wait_ms"]:
            self.reply(answer, self._report())
            return
        self._polls.append(answer)
        self.later.call(body["wait_ms"] / 1000, lambda: self._answer_poll(answer))

    def _answer_poll(self, answer):
        if answer in self._polls:
            self._polls.remove(answer)
            self.reply(answer, self._report())

    def _report(self):
        lagging_s = time.monotonic() - self._usage_lag_s
        return {
            "measured_at_ms": _now_ms(),
            "running": list(self._attempts),
            "finished": list(self._finished.values()),
            "connections": len(self._endpoint_socks),
            "leaving": self._leaving,
            "peak_memory_mb": {
                a: mb for a, (mb, at_s) in self._usage.items() if at_s < lagging_s
            },
        }

    def _end(self, attempt_id, *, exit_code=0, stopped=False):
        self._attempts.pop(attempt_id, None)
        self._usage.pop(attempt_id, None)
        kind = "stop" if stopped else "end"
        self.high.write(kind, attempt_id)
        self._finished[attempt_id] = {
            "attempt_id": attempt_id,
            "exit_code": exit_code,
            "stopped": stopped,
        }
        self._news()

    def _news(self):
        polls, self._polls = self._polls, []
        for answer in polls:
            self.reply(answer, self._report())

    def _beat(self):
        now_ms = _now_ms()
        for attempt_id, attempt in list(self._attempts.items()):
            if self._lease_until_ms < now_ms:
                self._attempts.pop(attempt_id)
                self.high.write("lease_over", attempt_id)
            elif attempt.ends_at_ms <= now_ms:
                self._end(attempt_id)
        self.later.call(TICK_S, self._beat)

    # Endpoint ----------------------------------------------------------------

    def post_lookup(self, answer, parts, query, body):
        """Answer a lookup after the service time, with what it asked for."""
        self._touch(answer)
        self._lookups += 1
        self.high.see_endpoint(self._lookups, len(self._endpoint_socks))
        text = body.decode() if isinstance(body, bytes) else body
        document = {"worker": self._name, "target": "/".join(parts[1:]), "body": text}
        if "q" in query:
            document["q"] = query["q"]
        service_s = float(query.get("take_ms", self._service_s * 1000)) / 1000

        def done():
            self._lookups -= 1
            self.reply(answer, document)

        self.later.call(service_s, done)

    def post_stream(self, answer, parts, query, body):
        """Send parts until the stream's length is reached."""
        self._touch(answer)
        self.high.see_endpoint(self._lookups, len(self._endpoint_socks))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.send(answer, head)
        self._part(answer, 0, int(query.get("parts", 1_000_000)))

    def _part(self, answer, index, parts):
        if answer.request.sock not in self.connections:
            return
        if index == parts:
            self.send(answer, b"0\r\n\r\n")
            self.server.http._clients.pop(answer.request.sock, None)
            self.guard.answered(answer.request.sock)
            return
        data = f"part {index}\n".encode()
        self.send(answer, b"%x\r\n%b\r\n" % (len(data), data))
        self.later.call(STREAM_PART_S, lambda: self._part(answer, index + 1, parts))

    def _touch(self, answer):
        self._endpoint_socks.add(answer.request.sock)

    def on_gone(self, sock):
        """Count a closed connection of the endpoint."""
        self._endpoint_socks.discard(sock)

    # Tests -------------------------------------------------------------------

    def post_switch(self, answer, parts, query, body):
        """Set how the worker behaves."""
        self._leaving = body.get("leaving", self._leaving)
        self._fail_all = body.get("fail_all", self._fail_all)
        self._lose_starts = body.get("lose_starts", self._lose_starts)
        self._service_s = body.get("service_ms", self._service_s * 1000) / 1000
        self.reply(answer, {"ok": True})
        self._news()

    def get_journal(self, answer, parts, query, body):
        """Return every start and end, and the highest use ever seen."""
        self.reply(answer, self.high.document(list(self._attempts)))


_ROUTES = {
    "start": Worker._take_starts,
    "stop": Worker._take_stops,
    "poll": Worker._take_poll,
    "throttle": Worker._throttle,
}
