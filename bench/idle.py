"""Cost of an idle daemon by the number of peers, workers and other halls."""

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
    """Describe the size of a cluster."""

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
    """Return the regressors and the measured cost of one daemon."""
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
    regressors = (1, case.instances - 1, owned, case.halls - 1)
    return regressors, (cpu, after.memory_mb, control)


def main():
    """Print each case and the linear regression over all."""
    regressors, costs = [], []
    for case in CASES:
        regressor, cost = measure(case)
        regressors.append(regressor)
        costs.append(cost)
        print(
            f"{regressor[1]} hall peers, {regressor[2]} workers owned,"
            f" {regressor[3]} other halls:"
            f" cpu {cost[0]:.2f}%, memory {cost[1]:.1f} MB, control {cost[2]:.0f} B/s",
            flush=True,
        )
    for index, name in enumerate(("cpu %", "memory MB", "control B/s")):
        values = [cost[index] for cost in costs]
        coefficients, *_ = np.linalg.lstsq(
            np.array(regressors, float), np.array(values), rcond=None
        )
        base, peer, worker, hall = coefficients
        print(
            f"{name}: {base:.2f} + {peer:.3f} per hall peer + {worker:.3f} per worker"
            f" + {hall:.3f} per other hall;"
            f" at 5, 13 and 7: {coefficients @ AT_SCALE:.2f}"
        )


if __name__ == "__main__":
    main()
