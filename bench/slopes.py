"""Cost of state, records and checkpoints per item, by linear regression."""

import time
import tracemalloc

import numpy as np
import orjson
from attrs import frozen

from thymefork_core.config import ConfigVersion
from thymefork_core.ledger import (
    Accept,
    AcceptedIndex,
    End,
    Ending,
    HallLedger,
    Record,
    Start,
)
from thymefork_core.log import Batch, Stream
from thymefork_core.model import (
    OperatorsFile,
    Resources,
    Service,
    Team,
    WorkerDecl,
    WorkKind,
    WorkSpec,
)
from thymefork_core.peer import Heartbeat
from thymefork_wire import (
    RecordCodec,
    decode_config_version,
    encode_config_version,
    encode_envelope,
)

__all__ = ["main"]

SIZES = (1000, 2000, 4000, 8000)
NEED = Resources(cpu_milli=1000, memory_mb=512)


@frozen(kw_only=True)
class Slope:
    """Hold a linear fit over the sizes."""

    name: str
    per_item: float
    base: float
    unit: str

    def __str__(self):
        """Format the slope and the intercept."""
        return (
            f"{self.name}: {self.per_item:.3f} {self.unit} per item + {self.base:.0f}"
        )


def fit(name, unit, values):
    """Return a linear fit of the values over the sizes."""
    per_item, base = np.polyfit(SIZES, values, 1)
    return Slope(name=name, per_item=per_item, base=base, unit=unit)


def spec(index):
    """Return the spec of a typical task."""
    return WorkSpec(
        work_id=f"merge-2026-12-02-{index:08d}",
        kind=WorkKind.TASK,
        team=f"team-{index % 220:03d}",
        resources=NEED,
        submitted_at_ms=1_796_000_000_000,
        deadline_ms=1_796_000_600_000,
    )


def start(index):
    """Return the start entry of a typical task."""
    return Start(
        work_id=spec(index).work_id,
        task=0,
        attempt=1,
        worker=f"w-hall-{index % 80:02d}",
        resources=NEED,
        team=spec(index).team,
        at_most_once=False,
    )


def end(index):
    """Return the end entry of a typical task."""
    return End(work_id=spec(index).work_id, task=0, attempt=1, ending=Ending.DONE)


def records(make, count, first=0):
    """Return records of 50 entries each."""
    entries = [make(index) for index in range(count)]
    groups = [tuple(entries[i : i + 50]) for i in range(0, count, 50)]
    return [
        Record(offset=first + i, record_id=str(i), author="a~1", entries=group)
        for i, group in enumerate(groups)
    ]


def open_ledger(count):
    """Return a ledger with open attempts."""
    ledger = HallLedger()
    for index in range(80):
        ledger.state.owners[f"w-hall-{index:02d}"] = "a~1"
    for record in records(start, count):
        ledger.apply(record)
    return ledger


def accepted(count):
    """Return an index of accepted ids."""
    index = AcceptedIndex(window_ms=600_000)
    for record in records(lambda i: Accept(hall="hall", spec=spec(i)), count):
        index.apply(record)
    return index


def timed_us(function):
    """Return the best of three runs in microseconds."""
    best = []
    for _ in range(3):
        began_ns = time.perf_counter_ns()
        function()
        best.append((time.perf_counter_ns() - began_ns) / 1000)
    return min(best)


def memory_bytes(function):
    """Return the memory that the function's result occupies."""
    tracemalloc.start()
    result = function()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return held


def codec_us(make, count):
    """Return the time to encode and decode entries."""
    entries = tuple(make(index) for index in range(count))
    batch = Batch(record_id="r", author="a~1", entries=entries, began_mono_ms=0)

    def round_trip():
        RecordCodec.decode(0, "r", orjson.loads(RecordCodec.encode(batch)))

    return timed_us(round_trip)


def entry_bytes(make, count):
    """Return the size of an encoded record with `count` entries."""
    entries = tuple(make(index) for index in range(count))
    batch = Batch(record_id="r", author="a~1", entries=entries, began_mono_ms=0)
    return len(RecordCodec.encode(batch))


def checkpoint_us(count):
    """Return the time to write and to read a checkpoint of open attempts."""
    state = open_ledger(count).state

    def round_trip():
        body = orjson.loads(RecordCodec.encode_state(state))
        HallLedger(state=RecordCodec.decode_state(Stream.HALL_CHECKPOINT, body))

    return timed_us(round_trip)


def accepted_checkpoint(count):
    """Return the size of a checkpoint of accepted ids."""
    return len(RecordCodec.encode_state(accepted(count).state))


def make_accept(index):
    """Return the accept entry of a typical task."""
    return Accept(hall="hall", spec=spec(index))


def config(workers, teams):
    """Return a configuration with this many workers and teams."""
    file = OperatorsFile(
        region="r",
        halls=tuple(f"hall-{i}" for i in range(8)),
        workers=tuple(
            WorkerDecl(
                name=f"w-hall-{i % 8}-{i:03d}",
                hall=f"hall-{i % 8}",
                rack=f"rack-{i // 16}",
                resources=Resources(cpu_milli=16_000, memory_mb=32_768, accelerators=2),
            )
            for i in range(workers)
        ),
        services=(Service(name="catalogo", slots=8, connections=64),),
        teams=tuple(Team(name=f"team-{i:03d}", quota=NEED) for i in range(teams)),
        policies=(),
    )
    return ConfigVersion(version=1, base=0, author="a", record_id="r", file=file)


def heartbeat():
    """Return a typical heartbeat."""
    return Heartbeat(
        name="bog-norte-1",
        hall="bog-norte",
        incarnation="bog-norte-1~1796215480109",
        seq=100_000,
        echo=100_000,
        config_version=100_000,
        leaving=False,
        log_down=False,
        free=NEED * 50,
        largest_free=NEED * 9,
        free_slots={"catalogo": 100},
        fenced=("bog-norte-2~1796215480109",) * 4,
    )


def main():
    """Print all fits."""
    lines = [
        fit(
            "open attempt, memory",
            "B",
            [memory_bytes(lambda n=n: open_ledger(n)) for n in SIZES],
        ),
        fit(
            "accepted id, memory",
            "B",
            [memory_bytes(lambda n=n: accepted(n)) for n in SIZES],
        ),
        fit(
            "open attempt, checkpoint",
            "B",
            [len(RecordCodec.encode_state(open_ledger(n).state)) for n in SIZES],
        ),
        fit("accepted id, checkpoint", "B", [accepted_checkpoint(n) for n in SIZES]),
        fit(
            "open attempt, checkpoint written and read",
            "us",
            [checkpoint_us(n) for n in SIZES],
        ),
        fit("start entry, record", "B", [entry_bytes(start, n) for n in SIZES]),
        fit("end entry, record", "B", [entry_bytes(end, n) for n in SIZES]),
        fit("accept entry, record", "B", [entry_bytes(make_accept, n) for n in SIZES]),
        fit(
            "start entry, encoded and decoded",
            "us",
            [codec_us(start, n) for n in SIZES],
        ),
        fit("end entry, encoded and decoded", "us", [codec_us(end, n) for n in SIZES]),
        fit(
            "accept entry, encoded and decoded",
            "us",
            [codec_us(make_accept, n) for n in SIZES],
        ),
        fit(
            "start entry, applied",
            "us",
            [timed_us(lambda n=n: open_ledger(n)) for n in SIZES],
        ),
    ]
    for line in lines:
        print(line)
    for workers, teams in ((24, 2), (640, 220)):
        version = config(workers, teams)
        data = encode_config_version(version)
        took_us = timed_us(lambda d=data: decode_config_version(d))
        print(
            f"configuration of {workers} workers and {teams} teams:"
            f" {len(data)} B, read in {took_us:.0f} us"
        )
    print(f"heartbeat: {len(encode_envelope('bog-norte-1', heartbeat())) + 4} B")


if __name__ == "__main__":
    main()
