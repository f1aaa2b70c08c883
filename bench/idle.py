"""What an idle daemon costs by its hall's peers, its workers and the other halls."""

import time

import numpy as np
import orjson
from attrs import frozen

from thymefork_standin.cluster import Cluster

from .processes import ROOT, cost_of

__all__ = ["Case", "main"]

SPAN_S = 15
SETTLE_S = 4
AT_SCALE = (1, 5, 13, 7)


@frozen(kw_only=True)
class Case:
    """Hold the size of a cluster."""

    halls: int
    instances: int
    workers: int


CASES = (
    Case(halls=3, instances=1, workers=8),
    Case(halls=3, instances=2, workers=8),
    Case(halls=3, instances=4, workers=8),
    Case(halls=3, instances=1, workers=2),
    Case(halls=2, instances=1, workers=8),
    Case(halls=1, instances=1, workers=8),
)


def measure(case):
    """Return what explains the cost, and the cost of one daemon."""
    file = orjson.loads((ROOT / "examples" / "libraries.json").read_bytes())
    file["halls"] = file["halls"][: case.halls]
    file["workers"] = [
        worker
        for worker in file["workers"]
        if worker["hall"] in file["halls"] and int(worker["name"][-2:]) <= case.workers
    ]
    with Cluster(file=file, instances_per_hall=case.instances) as cluster:
        time.sleep(SETTLE_S)
        name = cluster.names[0]
        before, began_s = cost_of(cluster, name), time.monotonic()
        time.sleep(SPAN_S)
        after, span_s = cost_of(cluster, name), time.monotonic() - began_s
        owned = len(cluster.report(name)["workers"])
    cpu = 100 * (after.cpu_s - before.cpu_s) / span_s
    control = (after.control_bytes - before.control_bytes) / span_s
    causes = (1, case.instances - 1, owned, case.halls - 1)
    return causes, (cpu, after.memory_mb, control)


def main():
    """Print each case, and the planes through them."""
    causes, costs = [], []
    for case in CASES:
        cause, cost = measure(case)
        causes.append(cause)
        costs.append(cost)
        print(
            f"{cause[1]} hall peers, {cause[2]} workers owned, {cause[3]} other halls:"
            f" cpu {cost[0]:.2f}%, memory {cost[1]:.1f} MB, control {cost[2]:.0f} B/s",
            flush=True,
        )
    for index, name in enumerate(("cpu %", "memory MB", "control B/s")):
        values = [cost[index] for cost in costs]
        plane, *_ = np.linalg.lstsq(
            np.array(causes, float), np.array(values), rcond=None
        )
        base, peer, worker, hall = plane
        print(
            f"{name}: {base:.2f} + {peer:.3f} a hall peer + {worker:.3f} a worker"
            f" + {hall:.3f} another hall; at 5, 13 and 7: {plane @ AT_SCALE:.2f}"
        )


if __name__ == "__main__":
    main()
