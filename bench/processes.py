"""Throughput and cost of one daemon, on real processes."""

import os
import time
from pathlib import Path

import orjson
from attrs import frozen

from thymefork_standin.caller import Caller
from thymefork_standin.cluster import Cluster

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
LOOKUP_RATE = 600
STARTS_RATE = 500
TASKS_PER_SUBMISSION = 10
SPAN_S = 8
IDLE_S = 15
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@frozen(kw_only=True)
class Cost:
    """Hold the resource use of a process since its start."""

    cpu_s: float
    memory_mb: float
    control_bytes: int
    messages: int


def cost_of(cluster, name):
    """Return the resource use of a daemon."""
    pid = cluster.daemons[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    status = Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0]
    traffic = cluster.get(name, "/traffic").document
    return Cost(
        cpu_s=cpu_s,
        memory_mb=int(status) / 1024,
        control_bytes=traffic["control_bytes"],
        messages=traffic["messages"],
    )


def idle(cluster):
    """Print the cost of an idle daemon."""
    name = cluster.names[0]
    before, began_s = cost_of(cluster, name), time.monotonic()
    time.sleep(IDLE_S)
    after, span_s = cost_of(cluster, name), time.monotonic() - began_s
    print(
        f"idle, one daemon of {len(cluster.names)}:"
        f" cpu {100 * (after.cpu_s - before.cpu_s) / span_s:.2f}% of a core"
        f" (limit 1.8), memory {after.memory_mb:.0f} MB (limit 128),"
        f" control {(after.control_bytes - before.control_bytes) / span_s:.0f} B/s"
        " (limit 4096)"
    )


def lookups(cluster):
    """Print latency and cost of lookups through one daemon."""
    name = cluster.names[0]
    service = cluster.file["services"][0]["name"]
    caller = Caller(
        ports=[cluster.ports[name]], rate_per_s=LOOKUP_RATE, span_s=SPAN_S, seed=1
    )
    before = cost_of(cluster, name)
    result = caller.run(lambda i: ("GET", f"/lookup/{service}/item-{i}?q={i}", b""))
    after = cost_of(cluster, name)
    used = after.cpu_s - before.cpu_s
    total = sum(result.outcomes.values())
    print(f"lookups at {LOOKUP_RATE}/s: {result.summary()}")
    print(
        f"  cpu {100 * used / result.took_s:.0f}% of a core,"
        f" {1e6 * used / total:.0f} us per lookup,"
        f" {(after.messages - before.messages) / total:.3f} peer messages per lookup"
    )


def starts(cluster):
    """Print latency and cost of task starts through one daemon."""
    name = cluster.names[0]

    def submission(index):
        specs = [
            cluster.spec(
                run_ms=50,
                resources={"cpu_milli": 50, "memory_mb": 16, "accelerators": 0},
                deadline_ms=time.time_ns() // 1_000_000 + 30_000,
            )
            for _ in range(TASKS_PER_SUBMISSION)
        ]
        return "POST", "/work", orjson.dumps({"works": specs})

    caller = Caller(
        ports=[cluster.ports[name]],
        rate_per_s=STARTS_RATE / TASKS_PER_SUBMISSION,
        span_s=SPAN_S,
        seed=2,
    )
    log_before = cluster.get("log", "/stats").document
    before = cost_of(cluster, name)
    result = caller.run(submission)
    after = cost_of(cluster, name)
    log_after = cluster.get("log", "/stats").document
    used = after.cpu_s - before.cpu_s
    total = sum(result.outcomes.values())
    print(f"task starts at {STARTS_RATE}/s: {result.summary()}")
    print(
        f"  cpu {100 * used / result.took_s:.0f}% of a core,"
        f" {1e6 * used / total:.0f} us per task,"
        f" {(log_after['appends'] - log_before['appends']) / total:.3f} appends and"
        f" {(log_after['bytes_in'] - log_before['bytes_in']) / total:.0f} log bytes per"
        f" task, {(after.messages - before.messages) / total:.3f} peer messages per"
        " task"
    )


def main():
    """Run all measurements on the example cluster."""
    file = orjson.loads((ROOT / "examples" / "libraries.json").read_bytes())
    for team in file["teams"]:
        team["quota"] = {"cpu_milli": 10**7, "memory_mb": 10**7, "accelerators": 0}
    with Cluster(file=file, extra_instances=1) as cluster:
        idle(cluster)
        lookups(cluster)
        starts(cluster)


if __name__ == "__main__":
    main()
