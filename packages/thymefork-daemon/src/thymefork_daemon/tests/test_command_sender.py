"""Tests of fences and cancellation of commands to workers."""

from types import SimpleNamespace

import pytest

from thymefork_cells import CommandAnswer, Refusal, effects as fx
from thymefork_cells.specs import WorkerEntry
from thymefork_cells.state import Run, RunState, Worker
from thymefork_daemon.owner.command_sender import CommandSender

EPOCH = 3


class FakeClient:
    """Record the commands that are sent."""

    def __init__(self):
        self.starts = []
        self.stops = []

    def start(self, **fields):
        self.starts.append(fields)

    def stop(self, **fields):
        self.stops.append(fields)


@pytest.fixture
def client():
    return FakeClient()


@pytest.fixture
def owner():
    lost, refusals = [], []
    cell = SimpleNamespace(
        on_stop_answer=lambda run, answer, now_ms: refusals.append(answer.refusal)
    )
    return SimpleNamespace(
        epoch=EPOCH,
        cell=cell,
        lost=lost,
        refusals=refusals,
        drop_ownership=lost.append,
        may_poll=lambda: True,
        may_renew_leases=lambda: True,
        may_start_runs=lambda: True,
        apply_effects=lambda: None,
    )


def make_worker(incarnation_number=0):
    entry = WorkerEntry(
        worker_id="w", machine_id="m", host="h", port=1, service="s", hall=""
    )
    return Worker(entry=entry, incarnation_number=incarnation_number)


def send_stop(owner, client, worker):
    run = SimpleNamespace(worker=worker, key=("j.0.0.0", 1))
    CommandSender(owner=owner, client=client).send(fx.StopRun(run=run))
    return client.stops[-1]


def test_fence_rises_per_incarnation_but_stays_below_next_epoch(owner, client):
    fences = [
        send_stop(owner, client, make_worker(number))["fence"] for number in range(3)
    ]
    assert fences == sorted(set(fences))
    assert fences[-1] < make_worker().fence(EPOCH + 1)


def test_fence_of_newer_owner_ends_ownership(owner, client):
    stop = send_stop(owner, client, make_worker())
    stop["done"](CommandAnswer(refusal=Refusal.FENCED, clock_ms=5))
    assert owner.lost and not owner.refusals


def test_fence_of_next_incarnation_does_not_end_ownership(owner, client):
    worker = make_worker()
    stop = send_stop(owner, client, worker)
    worker.is_over = True
    stop["done"](CommandAnswer(refusal=Refusal.FENCED, clock_ms=5))
    assert not owner.lost and owner.refusals == [Refusal.FENCED]


@pytest.mark.parametrize("state", [RunState.STOPPING, RunState.GONE])
def test_waiting_start_is_unwanted_after_cancellation(owner, client, state):
    """Guards against sending a start after the stop of its run."""
    worker = make_worker()
    job = SimpleNamespace(spec=SimpleNamespace(payload=""))
    step = SimpleNamespace(job=job, ticket_for=lambda worker_id, now_ms: None)
    task = SimpleNamespace(step=step, checkpoint="")
    run = Run(task=task, run_id=1, worker=worker, state=RunState.SENT)
    worker.clock_offset_ms = 0.0
    owner.cell.commands = SimpleNamespace(may_start=lambda run, now_ms: True)
    owner.cell.poller = SimpleNamespace(record_lease=lambda *row, now_ms: None)
    CommandSender(owner=owner, client=client).send(fx.StartRun(run=run))
    (start,) = client.starts
    assert start["wanted"]()
    run.state = state
    assert not start["wanted"]()
