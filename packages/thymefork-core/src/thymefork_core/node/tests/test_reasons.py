"""Every refusal and retry reason is reached, and its counter raised."""

import pytest

from thymefork_core.ledger import Claim, Start
from thymefork_core.model import Resources, WorkKind
from thymefork_core.node import Limits, messages as m
from thymefork_core.reasons import Reason, Retry
from thymefork_standin.virtual import World

from .conftest import make_file, make_spec

OUTSIDE_THE_NODE = {Reason.BAD_REQUEST, Retry.PEER_RECONNECT}
WIDE = Resources(cpu_milli=3000, memory_mb=100)


def send(world, name, work_id, **fields):
    spec = make_spec(world, work_id, **fields)
    world.tell(name, m.SubmitRequest(request_id=work_id, specs=(spec,)))


def cancel(world, name, work_id):
    message = m.CancelRequest(request_id=f"c-{work_id}", work_ids=(work_id,))
    world.tell(name, message)


def lookup(world, name, request_id, service="s", span_ms=500):
    world.tell(
        name,
        m.LookupRequest(
            request_id=request_id,
            service=service,
            target="x",
            body=b"",
            deadline_ms=world.now_ms + span_ms,
        ),
    )


def cancelled(world):
    send(world, "h-1", "fill", tasks=12, run_ms=5000)
    world.run(500)
    send(world, "h-1", "queued")
    world.run(200)
    cancel(world, "h-2", "queued")
    cancel(world, "h-2", "fill")
    cancel(world, "h-2", "nobody")
    world.run(500)


def deadline(world):
    send(world, "h-1", "fill", tasks=12, run_ms=5000)
    world.run(500)
    send(world, "h-1", "late", deadline_ms=world.now_ms + 300)
    send(world, "h-1", "past", deadline_ms=world.now_ms - 1)
    world.run(1000)


def running_at_deadline(world):
    send(world, "h-1", "long", run_ms=5000, deadline_ms=world.now_ms + 500)
    world.run(2000)


def refused_at_once(world):
    send(world, "h-1", "same")
    world.run(1000)
    send(world, "h-2", "same", run_ms=1)
    send(world, "h-1", "wide", resources=Resources(cpu_milli=10**6))
    send(world, "h-1", "old", submitted_at_ms=0)
    send(world, "h-1", "team", team="nobody")
    lookup(world, "h-1", "q", service="nothing")


def failing(world):
    for worker in world.workers.values():
        worker.fails_all = True
    send(world, "h-1", "bad")
    world.run(3000)


def lost_for_good(world):
    send(world, "h-1", "lost", run_ms=60_000)
    for _ in range(3):
        world.run(3000)
        for worker in world.workers.values():
            worker.running.clear()
            worker.ends_at_ms.clear()
        world.run(7000)


def lost_once(world):
    world.deaf_workers.update(world.workers)
    send(world, "h-1", "once", at_most_once=True)
    world.run(1000)
    world.deaf_workers.clear()
    world.run(15_000)


def gangs_without_room(world):
    send(world, "h-1", "fill", tasks=8, run_ms=3000)
    world.run(500)
    send(world, "h-1", "gang", kind=WorkKind.JOB, tasks=3, resources=WIDE)
    world.run(5000)


def hall_unreachable(world):
    world.add("g-1")
    world.run(4000)
    send(world, "h-1", "there", run_ms=60_000)
    world.run(500)
    spec = world.nodes["g-1"].ctx.accepted.get("there").spec
    for name in ("h-1", "h-2"):
        world.kill(name)
    world.tell("g-1", m.SubmitRequest(request_id="again", specs=(spec,)))
    world.run(40_000)


def log_away(world):
    world.log.out_for.update(world.nodes)
    world.run(2000)
    send(world, "h-1", "refused")
    send(world, "h-1", "unknown", submitted_at_ms=world.now_ms - 5000)


def unresolved(world):
    world.late_appends.append(20_000)
    send(world, "h-1", "lost", deadline_ms=world.now_ms + 500)
    world.log.out_for.add("h-1")
    world.run(3000)


def no_config(world):
    world.nodes["h-1"].ctx.config.current = None
    send(world, "h-1", "w")
    lookup(world, "h-1", "q")


def no_slot(world):
    for index in range(300):
        lookup(world, "h-1", f"q{index}", span_ms=2)
    world.run(500)


def planned_stop(world):
    world.tell("h-1", m.StopSignal())
    send(world, "h-1", "w")


def overloaded(world):
    for index in range(300):
        lookup(world, "h-1", f"q{index}", span_ms=800)
    world.run(500)


def resent(world):
    world.late_appends.append(3000)
    send(world, "h-1", "w")
    world.run(8000)


def claim_void(world):
    claim = Claim(victim="h-2~1", seen_offset=-1)
    world.nodes["h-1"].ctx.record(claim)
    world.run(1000)


def start_void(world):
    node = world.nodes["h-1"]
    worker = next(iter(node.ctx.book.views))
    start = Start(
        work_id="gone",
        task=0,
        attempt=7,
        worker=worker,
        resources=WIDE,
        team="t",
        at_most_once=False,
    )
    node.ctx.record(start)
    world.run(1000)


def start_not_sent(world):
    world.closed_workers.update(world.workers)
    send(world, "h-1", "w", run_ms=500)
    world.run(500)


def start_uncertain(world):
    world.lose_starts = 2
    send(world, "h-1", "w")
    world.run(2000)


def place_refused(world):
    send(world, "h-1", "a", tasks=12, run_ms=2000)
    send(world, "h-2", "b", tasks=12, run_ms=2000)
    world.run(5000)


def preempted(world):
    send(world, "h-1", "fill", tasks=12, run_ms=9000)
    world.run(1000)
    send(world, "h-1", "now", urgent=True)
    world.run(3000)


def lookup_hop(world):
    for index in range(60):
        lookup(world, "h-1", f"a{index}")
        lookup(world, "h-2", f"b{index}")
    world.run(1000)


REACHES = {
    cancelled: {Reason.CANCELLED, Reason.CANCELLED_RUNNING, Reason.UNKNOWN_WORK},
    deadline: {Reason.DEADLINE},
    running_at_deadline: {Reason.RUNNING_AT_DEADLINE},
    refused_at_once: {
        Reason.DUPLICATE_SPEC,
        Reason.NEVER_FITS,
        Reason.TOO_OLD,
        Reason.UNKNOWN_TEAM,
        Reason.UNKNOWN_SERVICE,
    },
    failing: {Retry.ATTEMPT_FAILED},
    lost_for_good: {Reason.FAILED_ATTEMPTS, Retry.ATTEMPT_LOST},
    lost_once: {Reason.LOST},
    gangs_without_room: {Reason.GANG_NO_ROOM},
    hall_unreachable: {Reason.HALL_UNREACHABLE},
    log_away: {Reason.LOG_UNAVAILABLE},
    unresolved: {Reason.RECORD_UNRESOLVED},
    no_config: {Reason.NO_CONFIG},
    no_slot: {Reason.NO_SLOT},
    planned_stop: {Reason.PLANNED_STOP},
    overloaded: {Reason.OVERLOADED},
    resent: {Retry.APPEND_RESENT},
    claim_void: {Retry.CLAIM_VOID},
    start_void: {Retry.START_VOID},
    start_not_sent: {Retry.START_NOT_SENT},
    start_uncertain: {Retry.START_UNCERTAIN},
    place_refused: {Retry.PLACE_REFUSED},
    preempted: {Retry.PREEMPTED},
    lookup_hop: {Retry.LOOKUP_HOP},
}


@pytest.mark.parametrize("story", REACHES, ids=lambda story: story.__name__)
def test_reason_is_counted(story):
    limits = Limits(come_back_after_ms=1000)
    world = World(file=make_file(), names=["h-1", "h-2"], limits=limits)
    world.run(5000)
    story(world)
    missing = REACHES[story] - set(world.counts)
    assert not missing, world.counts


def test_every_reason_is_reached_by_a_story():
    reached = set().union(*REACHES.values())
    assert set(Reason) | set(Retry) == reached | OUTSIDE_THE_NODE
