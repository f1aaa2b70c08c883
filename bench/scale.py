"""Cost of one decision of a node by the number of workers."""

import sys
import time

from attrs import frozen

from thymefork_core.config import ConfigVersion
from thymefork_core.instant import Instant
from thymefork_core.ledger import Accept, Record, Start, Take
from thymefork_core.log import Stream
from thymefork_core.model import (
    OperatorsFile,
    Resources,
    Service,
    Team,
    WorkerDecl,
    WorkKind,
    WorkSpec,
)
from thymefork_core.node import Limits, Node, effects as fx, messages as m

__all__ = ["Decisions", "ScaleResult", "measure"]

RUNNING_AT_640 = 5000
TEAMS = 220
WALL_MS = 1_000_000_000
TASK = Resources(cpu_milli=500, memory_mb=256)


@frozen(kw_only=True)
class ScaleResult:
    """Hold the cost of decisions for one number of workers.

    Units: microseconds at the 99th percentile; number of function calls.
    """

    workers: int
    running: int
    lookup_us: float
    task_us: float
    lookup_calls: int
    task_calls: int


class Decisions:
    """Drive a node that owns all workers, with tasks running on them."""

    def __init__(self, *, workers):
        self.workers = workers
        self.running = RUNNING_AT_640 * workers // 640
        self.mono_ms = 10_000
        self.offset = 0
        self.accepted = 0
        self.node = self._make()
        self._own_all()
        self._fill()

    def _make(self):
        node = Node(
            name="h-1", hall="h", incarnation="h-1~1", limits=Limits(), now=self.now()
        )
        file = OperatorsFile(
            region="r",
            halls=("h",),
            workers=tuple(
                WorkerDecl(
                    name=f"w{i:04d}",
                    hall="h",
                    rack=f"r{i // 8}",
                    resources=Resources(cpu_milli=16_000, memory_mb=32_768),
                )
                for i in range(self.workers)
            ),
            services=(Service(name="s", slots=8, connections=64),),
            teams=tuple(
                Team(name=f"t{i}", quota=Resources(cpu_milli=10**8, memory_mb=10**8))
                for i in range(TEAMS)
            ),
            policies=(),
        )
        node.ctx.config.current = ConfigVersion(
            version=1, base=0, author="bench", record_id="v1", file=file
        )
        return node

    def now(self):
        """Return the current time of the benchmark."""
        return Instant(wall_ms=WALL_MS + self.mono_ms, mono_ms=self.mono_ms)

    def tell(self, message):
        """Pass a message to the node; return its effects."""
        return self.node.handle(message, self.now())

    def read(self, stream, author, *entries):
        """Pass a log record to the node."""
        offset = self.offset if stream is Stream.HALL else self.accepted
        record = Record(
            offset=offset, record_id=f"{stream}{offset}", author=author, entries=entries
        )
        if stream is Stream.HALL:
            self.offset += 1
        else:
            self.accepted += 1
        message = m.LogRead(
            stream=stream, records=(record,), began_mono_ms=self.mono_ms, at_end=True
        )
        return self.tell(message)

    def _own_all(self):
        self.tell(m.CheckpointRead(hall=None, accepted=None))
        for stream in (Stream.HALL, Stream.ACCEPTED):
            message = m.LogRead(
                stream=stream, records=(), began_mono_ms=self.mono_ms, at_end=True
            )
            self.tell(message)
        self.node.ctx.lease.acknowledged(self.mono_ms + 10**9)
        takes = [Take(worker=w.name) for w in self.node.ctx.file.workers]
        self.read(Stream.HALL, "h-1~1", *takes)
        for decl in self.node.ctx.file.workers:
            self.report(decl.name)

    def report(self, worker):
        """Send a worker's report with its running tasks and no ended ones."""
        running = tuple(
            a.attempt_id for a in self.node.ctx.ledger.open_attempts(worker)
        )
        self.tell(
            m.WorkerReport(
                worker=worker,
                measured_at_ms=WALL_MS + self.mono_ms + 1,
                running=running,
                finished=(),
                connections=0,
                leaving=False,
                peak_memory_mb={},
            )
        )

    def _fill(self):
        for index in range(self.running):
            spec = self.spec(f"old{index}")
            self.read(Stream.ACCEPTED, "other~1", Accept(hall="h", spec=spec))
            worker = f"w{index % self.workers:04d}"
            key = (spec.work_id, 0)
            self.node.ctx.book.take(worker, key, TASK)
            start = Start(
                work_id=spec.work_id,
                task=0,
                attempt=1,
                worker=worker,
                resources=TASK,
                team=spec.team,
                at_most_once=False,
            )
            self.read(Stream.HALL, "h-1~1", start)

    def spec(self, work_id):
        """Return the spec of a small task."""
        return WorkSpec(
            work_id=work_id,
            kind=WorkKind.TASK,
            team=f"t{sum(map(ord, work_id)) % TEAMS}",
            resources=TASK,
            submitted_at_ms=WALL_MS + self.mono_ms,
            deadline_ms=WALL_MS + 10**9,
        )

    def lookup(self, index):
        """Decide one lookup; return a function that ends it."""
        request = m.LookupRequest(
            request_id=f"q{index}",
            service="s",
            target="x",
            body=b"",
            deadline_ms=WALL_MS + self.mono_ms + 1000,
        )
        effects = self.tell(request)
        (proxy,) = [e for e in effects if isinstance(e, fx.Proxy)]
        return lambda: self.tell(
            m.LookupEnded(
                request_id=proxy.request_id,
                worker=proxy.worker,
                status=200,
                body=b"",
                took_ms=5.0,
                sent=True,
            )
        )

    def task(self, index):
        """Decide the placement of one accepted task."""
        accept = Accept(hall="h", spec=self.spec(f"new{index}"))
        self.read(Stream.ACCEPTED, "h-1~1", accept)


def _count_calls(function):
    """Return the number of Python function calls, which is deterministic."""
    count = 0

    def on_event(frame, event, argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(on_event)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


def measure(workers, rounds=400):
    """Return the cost of decisions for a number of workers."""
    bench = Decisions(workers=workers)
    lookup_us, task_us = [], []
    for index in range(rounds):
        began_ns = time.perf_counter_ns()
        end = bench.lookup(index)
        lookup_us.append((time.perf_counter_ns() - began_ns) / 1000)
        end()
        began_ns = time.perf_counter_ns()
        bench.task(index)
        task_us.append((time.perf_counter_ns() - began_ns) / 1000)
    p99_index = rounds * 99 // 100
    return ScaleResult(
        workers=workers,
        running=bench.running,
        lookup_us=sorted(lookup_us)[p99_index],
        task_us=sorted(task_us)[p99_index],
        lookup_calls=_count_calls(lambda: bench.lookup("calls")),
        task_calls=_count_calls(lambda: bench.task("calls")),
    )


def main():
    """Print the cost for several numbers of workers."""
    for workers in (24, 160, 640):
        print(measure(workers))


if __name__ == "__main__":
    main()
