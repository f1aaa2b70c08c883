"""A caller that makes open-loop load at a set rate, from a seed."""

import asyncio
import random
import time

import orjson
from attrs import Factory, define
from hdrh.histogram import HdrHistogram

__all__ = ["Caller", "LoadResult"]

MOST_US = 60_000_000
READ_BYTES = 65536


@define
class LoadResult:
    """Hold the outcomes of a run; latencies count from the time a call was due."""

    latency_us: HdrHistogram = Factory(lambda: HdrHistogram(1, MOST_US, 3))
    outcomes: dict = Factory(dict)
    took_s: float = 0.0

    def note(self, outcome, latency_s):
        """Count one call."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome == "done":
            self.latency_us.record_value(min(MOST_US, max(1, int(latency_s * 1e6))))

    def summary(self):
        """Return the figures in milliseconds."""
        at = self.latency_us.get_value_at_percentile
        done = self.outcomes.get("done", 0)
        return {
            "outcomes": self.outcomes,
            "done_per_s": round(done / self.took_s, 1) if self.took_s else 0,
            "p50_ms": round(at(50) / 1000, 2),
            "p99_ms": round(at(99) / 1000, 2),
            "max_ms": round(self.latency_us.get_max_value() / 1000, 2),
        }


class Caller:
    """Send calls at the times that a seed gives, whatever the answers do."""

    def __init__(self, *, ports, rate_per_s, span_s, seed=0, connections=64):
        self._ports = ports
        self._rate = rate_per_s
        self._span_s = span_s
        self._random = random.Random(seed)
        self._connections = connections
        self._idle = {port: [] for port in ports}
        self._busy = 0
        self.result = LoadResult()

    def run(self, make_request):
        """Run the load; `make_request` gives method, path and body by index."""
        asyncio.run(self._run(make_request))
        return self.result

    async def _run(self, make_request):
        began_s = time.perf_counter()
        due_s, index, calls = began_s, 0, []
        while due_s < began_s + self._span_s:
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            port = self._ports[index % len(self._ports)]
            request = make_request(index)
            calls.append(asyncio.create_task(self._call(port, due_s, *request)))
            due_s += self._random.expovariate(self._rate)
            index += 1
        await asyncio.gather(*calls)
        self.result.took_s = time.perf_counter() - began_s
        for streams in self._idle.values():
            for _, writer in streams:
                writer.close()

    async def _call(self, port, due_s, method, path, body):
        try:
            status, data = await self._exchange(port, method, path, body)
        except (OSError, asyncio.IncompleteReadError):
            self.result.note("no_answer", 0)
            return
        took_s = time.perf_counter() - due_s
        if path == "/work" and status == 200:
            for answer in orjson.loads(data)["answers"]:
                self.result.note(answer["outcome"], took_s)
        else:
            self.result.note("done" if status == 200 else f"status_{status}", took_s)

    async def _exchange(self, port, method, path, body):
        idle = self._idle[port]
        if idle:
            reader, writer = idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head[9:12])
        length = _length(head)
        data = await reader.readexactly(length)
        if b"connection: close" in head.lower():
            writer.close()
        else:
            idle.append((reader, writer))
        return status, data


def _length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0
