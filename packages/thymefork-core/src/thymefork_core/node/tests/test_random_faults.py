"""Random faults and interleavings on virtual time; the promises must hold."""

from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from thymefork_core.model import Outcome, Resources, WorkKind
from thymefork_core.node import messages as m
from thymefork_standin.virtual import World

from .conftest import make_file, make_spec

NAMES = ("h-1", "h-2", "h-3")
SPAN_MS = 12_000

name = st.sampled_from(NAMES)
at_ms = st.integers(0, SPAN_MS)
span_ms = st.integers(50, 9000)
fault = st.one_of(
    st.tuples(at_ms, st.just("kill"), name, span_ms),
    st.tuples(at_ms, st.just("pause"), name, span_ms),
    st.tuples(at_ms, st.just("log_out"), name, span_ms),
    st.tuples(at_ms, st.just("log_out_all"), name, span_ms),
    st.tuples(at_ms, st.just("cut"), name, span_ms),
    st.tuples(at_ms, st.just("lose_append"), name, st.integers(1, 4)),
    st.tuples(at_ms, st.just("lose_start"), name, st.integers(1, 3)),
    st.tuples(at_ms, st.just("deaf"), name, span_ms),
    st.tuples(at_ms, st.just("closed"), name, span_ms),
    st.tuples(at_ms, st.just("late_start"), name, span_ms),
    st.tuples(at_ms, st.just("late_append"), name, span_ms),
)
work = st.tuples(
    at_ms,
    name,
    st.sampled_from(["task", "many", "job", "once", "big", "due"]),
    st.integers(20, 6000),
    st.sampled_from(["", "again", "cancel"]),
)
BIG = Resources(cpu_milli=2500, memory_mb=100)
FIELDS = {
    "task": {},
    "many": {"tasks": 6},
    "job": {"tasks": 3, "kind": WorkKind.JOB, "resources": BIG},
    "once": {"at_most_once": True, "resources": BIG},
    "big": {"resources": BIG},
    "due": {"tasks": 6, "deadline_ms": 800},
}


def apply_fault(world, fault):
    _, kind, name, amount = fault
    if kind == "kill":
        world.kill(name)
        world.after(amount, lambda: name in world.nodes or world.add(name))
    elif kind == "pause":
        world.pause(name, amount)
    elif kind.startswith("log_out"):
        out = NAMES if kind == "log_out_all" else (name,)
        world.log.out_for.update(out)
        world.after(amount, lambda: world.log.out_for.difference_update(out))
    elif kind == "cut":
        pairs = {frozenset((name, other)) for other in NAMES if other != name}
        world.cut |= pairs
        world.after(amount, lambda: world.cut.difference_update(pairs))
    elif kind == "lose_append":
        world.log.lose_answers += amount
    elif kind == "lose_start":
        world.lose_starts += amount
    elif kind == "late_start":
        world.late_starts.append(amount)
    elif kind == "late_append":
        world.late_appends.append(amount)
    elif kind in ("deaf", "closed"):
        worker = f"w{amount % 3}"
        broken = getattr(world, f"{kind}_workers")
        broken.add(worker)
        world.after(amount, lambda: broken.discard(worker))


class Caller:
    """Submit one work, and send it again or cancel it somewhere else."""

    def __init__(self, world, index, item):
        self.world = world
        self.work_id = f"work{index}"
        self.at_ms, self.name, self.kind, self.run_ms, self.then = item
        self.other = NAMES[(NAMES.index(self.name) + 1) % len(NAMES)]
        self.spec = None
        world.after(self.at_ms, self.submit)

    def submit(self):
        fields = {"run_ms": self.run_ms, **FIELDS[self.kind]}
        if "deadline_ms" in fields:
            fields["deadline_ms"] += self.world.now_ms
        self.spec = make_spec(self.world, self.work_id, **fields)
        message = m.SubmitRequest(request_id=self.work_id, specs=(self.spec,))
        self.world.tell(self.name, message)
        if self.then:
            self.world.after(self.run_ms // 2, getattr(self, self.then))

    def again(self):
        message = m.SubmitRequest(
            request_id=f"{self.work_id}-again", specs=(self.spec,), retry=True
        )
        self.world.tell(self.other, message)

    def cancel(self):
        message = m.CancelRequest(
            request_id=f"{self.work_id}-cancel", work_ids=(self.work_id,)
        )
        self.world.tell(self.other, message)


def run_world(faults, works, seed):
    world = World(file=make_file(), names=NAMES, seed=seed)
    world.run(5000)
    for item in faults:
        world.after(item[0], lambda item=item: apply_fault(world, item))
    callers = [Caller(world, index, item) for index, item in enumerate(works)]
    world.run(SPAN_MS + 45_000)
    return world, {caller.work_id: caller.spec for caller in callers}


def judge(world, specs, asked_once):
    """Check every promise from the workers' side."""
    assert world.breaches() == []
    assert world.doubles == []
    assert world.untrue == []
    for work_id, spec in specs.items():
        starts = world.starts_of(work_id)
        if spec.at_most_once:
            assert len(starts) <= spec.tasks
        for answer in world.answers.get(work_id, ()):
            if answer.outcome is Outcome.NOT_RUN and work_id in asked_once:
                assert starts == [], answer
            if answer.outcome is Outcome.DONE:
                assert len({s.rsplit("/", 1)[0] for s in starts}) == spec.tasks


@settings(
    max_examples=25,
    phases=(Phase.generate,),
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    st.lists(fault, max_size=6), st.lists(work, min_size=1, max_size=16), st.integers(0)
)
def test_promises_hold_under_random_faults(faults, works, seed):
    world, specs = run_world(faults, works, seed)
    asked_once = {f"work{i}" for i, item in enumerate(works) if item[-1] != "again"}
    judge(world, specs, asked_once)
