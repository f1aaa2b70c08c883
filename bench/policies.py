"""Compare waiting times and packing of the policy and two baselines."""

import statistics

from attrs import evolve, frozen

from thymefork_core.model import Outcome
from thymefork_core.node import messages as m
from thymefork_standin.virtual import World

from .baselines import POLICIES
from .workloads import SPAN_MS, WORKLOADS, make_file, make_items

__all__ = ["PolicyResult", "run_policy"]

SAMPLE_MS = 250
SETTLE_MS = 8000
NAMES = ("h-1", "h-2")


@frozen(kw_only=True)
class PolicyResult:
    """Hold the results of one run.

    Units: waiting in milliseconds from submission to the start of the first task;
    packing is the mean utilization of busy workers; messages include appends and
    calls to peers and workers.
    """

    done: int
    mean_waiting_ms: float
    p99_waiting_ms: float
    packing: float
    messages_per_task: float
    appends_per_task: float


def run_policy(policy, workload, user, seed=1):
    """Simulate a workload with a policy."""
    world = World(file=make_file(user), names=NAMES, seed=seed)
    for node in world.nodes.values():
        POLICIES[policy](node)
    world.run(SETTLE_MS)
    items = make_items(workload, user, seed)
    sent_at_ms = {}
    for index, item in enumerate(items):
        world.after(item.at_ms, _sender(world, index, item, sent_at_ms))
    before = (world.messages, world.log.appends)
    packing = _sample_packing(world, SPAN_MS * 4 // SAMPLE_MS)
    tasks = sum(item.spec.tasks for item in items)
    waits = [_first_start(world, w) - at_ms for w, at_ms in sent_at_ms.items()]
    done = [a for answers in world.answers.values() for a in answers]
    return PolicyResult(
        done=sum(answer.outcome is Outcome.DONE for answer in done),
        mean_waiting_ms=round(statistics.mean(waits), 1),
        p99_waiting_ms=sorted(waits)[len(waits) * 99 // 100],
        packing=round(statistics.mean(packing), 4),
        messages_per_task=round((world.messages - before[0]) / tasks, 3),
        appends_per_task=round((world.log.appends - before[1]) / tasks, 3),
    )


def _sender(world, index, item, sent_at_ms):
    def send():
        spec = evolve(item.spec, submitted_at_ms=world.now_ms)
        sent_at_ms[spec.work_id] = world.now_ms
        message = m.SubmitRequest(request_id=spec.work_id, specs=(spec,))
        world.tell(NAMES[index % len(NAMES)], message)

    return send


def _sample_packing(world, samples):
    """Return samples of the utilization of busy workers."""
    shares = []
    for _ in range(samples):
        world.run(SAMPLE_MS)
        busy = [w for w in world.workers.values() if w.running]
        if busy:
            used = sum(n.cpu_milli for w in busy for n in w.running.values())
            shares.append(used / sum(w.total.cpu_milli for w in busy))
    return shares or [0.0]


def _first_start(world, work_id):
    return min(
        at_ms
        for worker in world.workers.values()
        for at_ms, attempt_id in worker.starts
        if attempt_id.startswith(f"{work_id}/")
    )


def main():
    """Print the result of each user, workload and policy."""
    for user in ("libraries", "wattle"):
        for workload in WORKLOADS:
            for policy in POLICIES:
                result = run_policy(policy, workload, user)
                print(f"{user:10} {workload:12} {policy:12} {result}", flush=True)


if __name__ == "__main__":
    main()
