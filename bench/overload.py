"""Lookups under overload, and beside batch jobs, on real processes."""

import threading
import time

import orjson

from thymefork_standin.caller import Caller
from thymefork_standin.cluster import Cluster

from .processes import ROOT

__all__ = ["main"]

TAKE_MS = 400
PEAK_RATE = 150
OVERLOAD = 3
LOOKUP_RATE = 120
BATCH_JOBS_PER_SECOND = 40
SPAN_S = 8


def load(cluster, rate, take_ms, seed):
    """Send lookups to all instances; return the result."""
    service = cluster.file["services"][0]["name"]
    caller = Caller(
        ports=[cluster.ports[name] for name in cluster.names],
        rate_per_s=rate,
        span_s=SPAN_S,
        seed=seed,
    )
    path = f"/lookup/{service}/item"
    return caller.run(lambda i: ("GET", f"{path}-{i}?q={i}&take_ms={take_ms}", b""))


def goodput(cluster):
    """Print the goodput at the peak rate and under overload."""
    peak = load(cluster, PEAK_RATE, TAKE_MS, seed=1).summary()
    over = load(cluster, PEAK_RATE * OVERLOAD, TAKE_MS, seed=2).summary()
    print(f"at the peak: {peak}")
    print(f"at {OVERLOAD} times: {over}")
    ratio = over["done_per_s"] / peak["done_per_s"]
    print(f"goodput {ratio:.2f} of the peak's (target 0.9)")


def submit_batch_jobs(cluster, until_s):
    """Submit batch jobs until the given time."""
    while time.monotonic() < until_s:
        specs = [cluster.spec(run_ms=2000) for _ in range(10)]
        for name in cluster.names:
            form = {"works": specs}
            threading.Thread(target=cluster.post, args=(name, "/work", form)).start()
        time.sleep(10 / BATCH_JOBS_PER_SECOND)


def measure_with_batch_jobs(cluster):
    """Print the latency of lookups without and with batch jobs on the same workers."""
    alone = load(cluster, LOOKUP_RATE, 5, seed=3).summary()
    until_s = time.monotonic() + SPAN_S
    submitter = threading.Thread(target=submit_batch_jobs, args=(cluster, until_s))
    submitter.start()
    beside = load(cluster, LOOKUP_RATE, 5, seed=3).summary()
    submitter.join()
    print(f"lookups alone: {alone}")
    print(f"beside {BATCH_JOBS_PER_SECOND} batch jobs per second: {beside}")
    print(f"p99 {beside['p99_ms'] / alone['p99_ms']:.2f} times (target 1.2)")


def main():
    """Run all measurements on one hall."""
    file = orjson.loads((ROOT / "examples" / "libraries.json").read_bytes())
    file["halls"] = file["halls"][:1]
    file["workers"] = file["workers"][:8]
    for measurement in (measure_with_batch_jobs, goodput):
        with Cluster(file=file) as cluster:
            measurement(cluster)


if __name__ == "__main__":
    main()
