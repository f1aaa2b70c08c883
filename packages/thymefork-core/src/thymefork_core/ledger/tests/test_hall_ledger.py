"""The fold: the same verdicts for every reader, whatever is written."""

import copy

from hypothesis import given, strategies as st

from thymefork_core.ledger import (
    Claim,
    Close,
    End,
    Ending,
    HallLedger,
    Handover,
    Held,
    Record,
    Renew,
    Resign,
    Start,
    Take,
)
from thymefork_core.model import Resources
from thymefork_core.reasons import Reason

NEED = Resources(cpu_milli=1, memory_mb=1)
instance = st.sampled_from(["a~1", "b~1", "c~1"])
worker = st.sampled_from(["w1", "w2"])
work_id = st.sampled_from(["x", "y"])
number = st.integers(1, 3)


def make_start(work_id, worker, attempt, once):
    return Start(
        work_id=work_id,
        task=0,
        attempt=attempt,
        worker=worker,
        resources=NEED,
        team="t",
        at_most_once=once,
    )


def make_end(work_id, attempt, ending):
    return End(work_id=work_id, task=0, attempt=attempt, ending=ending)


entry = st.one_of(
    st.just(Renew()),
    st.builds(Take, worker=worker),
    st.builds(Handover, worker=worker, to=instance, held_connections=number),
    st.builds(Held, worker=worker, connections=st.integers(0, 2)),
    st.builds(Claim, victim=instance, seen_offset=st.integers(-1, 40)),
    st.builds(Resign, to=instance),
    st.builds(make_start, work_id, worker, number, st.booleans()),
    st.builds(make_end, work_id, number, st.sampled_from(Ending)),
    st.builds(
        Close, work_id=work_id, tasks=st.just(1), reason=st.just(Reason.CANCELLED)
    ),
)
history = st.lists(st.tuples(instance, st.lists(entry, max_size=3)), max_size=30)


def to_records(history):
    return [
        Record(offset=i, record_id=str(i), author=author, entries=tuple(entries))
        for i, (author, entries) in enumerate(history)
    ]


@given(history, st.integers(0, 30))
def test_a_checkpoint_and_the_rest_give_the_same_state(history, cut):
    records = to_records(history)
    whole = HallLedger()
    for record in records:
        whole.apply(record)
    first = HallLedger()
    for record in records[:cut]:
        first.apply(record)
    second = HallLedger(state=copy.deepcopy(first.state))
    for record in records:
        second.apply(record)
    assert second.state == whole.state
    assert second._open == {
        w: a for w, a in whole._open.items() if a or w in second._open
    }


@given(history)
def test_starts_count_once_and_only_from_the_owner(history):
    ledger = HallLedger()
    counted, open_now = set(), {}
    for record in to_records(history):
        owners = dict(ledger.state.owners)
        for verdict in ledger.apply(record):
            made = verdict.entry
            if isinstance(made, Take | Handover | Claim) and verdict.moved:
                owners.update({m.worker: m.after for m in verdict.moved})
            if isinstance(made, Start) and verdict.valid:
                assert owners[made.worker] == record.author
                assert (made.work_id, made.attempt) not in counted
                assert not open_now.get(made.work_id)
                counted.add((made.work_id, made.attempt))
                open_now[made.work_id] = True
            if isinstance(made, End) and verdict.valid:
                open_now[made.work_id] = False


def test_a_claim_is_void_after_a_record_of_its_victim():
    ledger = HallLedger()
    history = [
        ("a~1", [Take(worker="w1")]),
        ("a~1", [Renew()]),
        ("b~1", [Claim(victim="a~1", seen_offset=0)]),
        ("b~1", [Claim(victim="a~1", seen_offset=1)]),
    ]
    verdicts = [ledger.apply(record) for record in to_records(history)]
    assert [v[0].valid for v in verdicts] == [True, True, False, True]
    assert ledger.state.owners == {"w1": "b~1"}
