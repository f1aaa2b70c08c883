"""Tests of takeovers: no two owners share an epoch."""

import pytest

from thymefork_daemon.owner.cell_partition import CellPartition
from thymefork_daemon.owner.takeover import Takeover
from thymefork_machines.store import (
    AppendOutcome,
    AppendResult,
    NewestResult,
    StoreRecord,
)
from thymefork_soak.standin.log import Partition

from .fakes import FakeTimers


class PartitionStore:
    """Answer from one partition of the simulated store."""

    def __init__(self):
        self.partition = Partition()

    def append(self, *, records, writer, epoch, sequence, on_result, **_):
        refusal = self.partition.append(records, writer, epoch, sequence)
        outcome = AppendOutcome.STORED
        if refusal is not None:
            fenced = refusal["reason"] == "fenced"
            outcome = AppendOutcome.OUT_OF_SEQUENCE
            outcome = AppendOutcome.FENCED if fenced else outcome
        on_result(AppendResult(outcome=outcome))

    def newest(self, *, on_result, **_):
        records = tuple(
            StoreRecord(key=key, value=value)
            for key, (value, _) in self.partition.newest.items()
        )
        on_result(NewestResult(records=records, next_key="", end_offset=0))


@pytest.fixture
def store():
    return PartitionStore()


def take_over(store, epoch):
    outcome = []
    Takeover(
        partition=CellPartition(store=store, cell=0, partition=7, epoch=epoch),
        timers=FakeTimers(),
        owner="edge-1",
        on_loaded=outcome.append,
        on_fenced=lambda: outcome.append("fenced"),
    ).start()
    return outcome[0]


def test_takeover_reads_stored_records(store):
    store.partition.put("jaa", b"job")
    assert take_over(store, 3)["jaa"] == b"job"


def test_lower_epoch_is_fenced(store):
    take_over(store, 3)
    assert take_over(store, 2) == "fenced"


def test_same_epoch_of_another_owner_is_fenced(store):
    take_over(store, 3)
    assert take_over(store, 3) == "fenced"
