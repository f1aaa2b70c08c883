"""Tests of takeovers that fail, and of requests when an ownership ends."""

from types import SimpleNamespace

import pytest
from attrs import evolve
from loguru import logger

from thymefork_cells import HeardEnd, encode_spec
from thymefork_cells.effects import Outcome
from thymefork_cells.jobs.codec import encode_job, encode_progress
from thymefork_cells.specs import (
    Bounds,
    Configuration,
    JobSpec,
    RecordLimits,
    StepSpec,
    WorkerEntry,
)
from thymefork_cells.state import AccountUsage, Job, JobState, Run, RunState, Worker
from thymefork_daemon.heard_end_buffer import HeardEndBuffer
from thymefork_daemon.learned_speeds import LearnedSpeeds
from thymefork_daemon.lease_notice_buffer import LeaseNoticeBuffer
from thymefork_daemon.owned_cells import OwnedCells
from thymefork_daemon.owner import (
    cell_owner as cell_owner_module,
    request_handler as request_handler_module,
    scheduling_loop as scheduling_loop_module,
)

from .fakes import FakeMetrics, capacity_attributes
from .test_takeover import PartitionStore, take_over

CLOCK_MODULES = (cell_owner_module, request_handler_module, scheduling_loop_module)


class PooledStore(PartitionStore):
    """Log exceptions of callbacks, as the connection pool does."""

    def newest(self, *, on_result, **fields):
        super().newest(on_result=logger.catch(on_result), **fields)


@pytest.fixture
def daemon(timers):
    given_up = []
    daemon = SimpleNamespace(
        layout=SimpleNamespace(cells=1, partition_of=lambda cell: 7),
        membership=SimpleNamespace(
            epochs={7: 3},
            ttl_ms=1_000.0,
            holds=lambda partition, epoch, grace_ms=0.0: True,
            store_lost=False,
            drop_partition=lambda partition, epoch: given_up.append((partition, epoch)),
        ),
        given_up=given_up,
        settings=SimpleNamespace(
            instance="edge-1",
            bounds=Bounds(),
            store=RecordLimits(),
            max_sockets=800,
        ),
        configuration=Configuration(version=1),
        worker_list=SimpleNamespace(
            is_complete=True, entries={}, set_wanted=lambda wanted: None, as_of_ms=1e9
        ),
        links=SimpleNamespace(incoming=[]),
        peers=SimpleNamespace(
            send_heartbeats=lambda: None, send_to_members=lambda messages: None
        ),
        store=PooledStore(),
        workers=None,
        advice=None,
        is_stopping=False,
        timers=timers,
        metrics=FakeMetrics(),
        **capacity_attributes(),
    )
    daemon.heard_end_buffer = HeardEndBuffer(daemon=daemon)
    daemon.lease_notices = LeaseNoticeBuffer(daemon=daemon)
    daemon.learned_speeds = LearnedSpeeds(daemon=daemon)
    daemon.owned_cells = OwnedCells(daemon=daemon)
    daemon.owners = daemon.owned_cells.owners
    return daemon


def entry(worker_id):
    return WorkerEntry(
        worker_id=worker_id, machine_id="", host="", port=0, service="s", hall=""
    )


@pytest.fixture
def lines():
    """Return the captured log records."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record))
    yield lines
    logger.remove(sink)


def test_loaded_cell_is_served(daemon):
    daemon.owned_cells.update()
    assert daemon.owners[0].is_serving and not daemon.given_up


def test_cell_that_fails_to_load_is_given_up(daemon, lines):
    daemon.store.partition.put("jaa", b"not a job")
    daemon.owned_cells.update()
    assert daemon.given_up == [(7, 3)] and not daemon.owners
    assert ("ownership", "lost") in daemon.metrics.counts
    (failure,) = [
        line for line in lines if line["extra"].get("event") == "takeover_failed"
    ]
    assert failure["exception"] is not None


def test_cell_that_fails_to_load_after_inputs_arrive_is_given_up(daemon, timers):
    daemon.worker_list.is_complete = False
    daemon.store.partition.put("jaa", b"not a job")
    daemon.owned_cells.update()
    assert not daemon.given_up
    daemon.worker_list.is_complete = True
    timers.run(100)
    assert daemon.given_up == [(7, 3)]


def test_later_epoch_takes_over_cell_that_failed_to_load(daemon):
    daemon.store.partition.put("jaa", b"not a job")
    daemon.owned_cells.update()
    daemon.store.partition.put("jaa", b"")
    daemon.membership.epochs = {7: 5}
    daemon.owned_cells.update()
    assert daemon.owners[0].epoch == 5 and daemon.owners[0].is_serving


def test_owner_applies_unstored_ends_of_previous_owner(daemon):
    job = Job.create(
        job_id="aa",
        queue_name="q",
        usage=AccountUsage(name=""),
        spec=JobSpec(steps=(StepSpec(count=2),)),
        now_ms=0.0,
        first_start_ms=0.0,
    )
    for task in job.steps[0].tasks:
        task.run_count = 1
        worker = Worker(entry=entry(f"w{task.index}"))
        run = Run(task=task, run_id=1, worker=worker, state=RunState.LIVE)
        task.runs.append(run)
    job.state = JobState.RUNNING
    partition = daemon.store.partition
    partition.put("jaa", encode_job(job, epoch_ms=0.0, now_ms=0.0))
    partition.put("paa", encode_progress(job))
    ends = [
        HeardEnd(worker_id="w0", task="aa.0.0.0", run_id=1, how="done", checkpoint="")
    ]
    daemon.peers.member_links = []
    daemon.heard_end_buffer.announce(0, 2, ends)
    daemon.owned_cells.update()
    tasks = daemon.owners[0].cell.context.jobs["aa"].steps[0].tasks
    assert [task.done for task in tasks] == [True, False]
    daemon.owners[0].take_heard_ends([evolve(ends[0], worker_id="w1", task="aa.0.0.1")])
    assert [task.done for task in tasks] == [True, True]


NEW_JOB, SECOND_JOB = "00000000000000aa", "00000000000000bb"


def send_request(owner, job_id, replies, kind="submit", **options):
    data = encode_spec(JobSpec(payload="", steps=(StepSpec(),)))
    owner.request(kind, "q", job_id, data, replies.append, **options)


def test_requests_not_in_any_append_are_refused_when_ownership_ends(daemon):
    """Guards against leaving callers unanswered although nothing was sent."""
    daemon.owned_cells.update()
    owner, replies = daemon.owners[0], []
    send_request(owner, NEW_JOB, replies)
    send_request(owner, NEW_JOB, replies, kind="cancel")
    assert not replies
    owner.drop_ownership("test")
    assert [reply.outcome for reply in replies] == [Outcome.NOT_OWNER] * 2
    assert ("refusals", "given_back") in daemon.metrics.counts


def test_requests_in_append_get_no_answer_when_ownership_ends(daemon, timers):
    daemon.owned_cells.update()
    owner, replies, later = daemon.owners[0], [], []
    appends = []
    daemon.store.append = lambda **fields: appends.append(fields)
    send_request(owner, NEW_JOB, replies)
    timers.run(10)
    assert len(appends) == 1
    send_request(owner, NEW_JOB, replies)  # a duplicate waits for the same append
    send_request(owner, SECOND_JOB, later)
    timers.run(10)
    owner.drop_ownership("test")
    assert not replies
    assert [reply.outcome for reply in later] == [Outcome.NOT_OWNER]


def silence_store(daemon, timers):
    """Stop answering appends; return them, the first with one job."""
    appends = []
    daemon.store.append = lambda **fields: appends.append(fields)
    send_request(daemon.owners[0], NEW_JOB, [], timeout_ms=400)
    timers.run(10)
    assert len(appends) == 1
    return appends


def test_job_not_in_any_append_is_refused_before_callers_timeout(daemon, timers):
    """Guards against callers that time out behind an unanswered append."""
    daemon.owned_cells.update()
    appends, replies = silence_store(daemon, timers), []
    send_request(daemon.owners[0], SECOND_JOB, replies, timeout_ms=400)
    timers.run(280)
    assert not replies
    timers.run(119)  # just before the caller's timeout
    (reply,) = replies
    assert reply.outcome is Outcome.REFUSED and reply.retry_after_ms > 0
    assert SECOND_JOB not in daemon.owners[0].cell.context.jobs
    assert all(SECOND_JOB not in str(fields) for fields in appends)


def test_job_in_append_is_not_abandoned(daemon, timers):
    daemon.owned_cells.update()
    silence_store(daemon, timers)
    replies = []
    send_request(daemon.owners[0], NEW_JOB, replies, timeout_ms=400)
    timers.run(2_000)
    assert not replies
    assert NEW_JOB in daemon.owners[0].cell.context.jobs


def test_job_stored_in_time_is_kept(daemon, timers):
    daemon.owned_cells.update()
    replies = []
    send_request(daemon.owners[0], NEW_JOB, replies, timeout_ms=400)
    timers.run(2_000)
    assert [reply.outcome for reply in replies] == [Outcome.ACCEPTED]
    assert NEW_JOB in daemon.owners[0].cell.context.jobs


def test_job_without_callers_timeout_keeps_waiting(daemon, timers):
    """Instances of older versions don't send the timeout."""
    daemon.owned_cells.update()
    silence_store(daemon, timers)
    replies = []
    send_request(daemon.owners[0], SECOND_JOB, replies)
    timers.run(5_000)
    assert not replies


# An owner that was refused since another one serves under its epoch told all members
# that no lease was ever given under that epoch.
def test_owner_refused_by_another_of_its_epoch_does_not_speak_for_it(daemon):
    take_over(daemon.store, 3)
    daemon.owned_cells.update()
    assert not daemon.owners
    assert not daemon.lease_notices.notices_before(0, 4)


def test_owner_that_never_served_says_so(daemon):
    daemon.store.partition.put("jaa", b"not a job")
    daemon.owned_cells.update()
    (notice,) = daemon.lease_notices.notices_before(0, 4)
    assert not notice.end.has_served


def test_owner_announces_its_end(daemon):
    daemon.owned_cells.update()
    daemon.owners[0].end("test")
    (notice,) = daemon.lease_notices.notices_before(0, 4)
    assert notice.end.has_served
