"""Jobs whose queue or account a configuration removes, and maybe names again.

A removed queue tells nothing about the jobs that it had accepted, so nothing that can't
be taken back may be decided from its absence.
"""

import pytest
from attrs import evolve

from thymefork_cells.specs import AccountPolicy, ResourceLimit
from thymefork_cells.state import JobState

from .harness import job_spec
from .harness_defaults import QUEUE

JOB = "00000000000000aa"
FIRST_TASK = f"{JOB}.0.0.0"
ACCOUNT = "a"
MAX_ATTEMPTS = 3
# Longest time that a job may run nothing beside room, and what a start takes at most.
STANDSTILL_MS = 3_000.0


def configure(harness, **fields):
    """Put another configuration in force, also for the next owners."""
    version = harness.configuration.version + 1
    harness.configuration = evolve(harness.configuration, version=version, **fields)
    harness.cell.on_configuration(harness.configuration)


def remove_queue(harness):
    """Remove the queue; return a function that names it again, maybe changed."""
    kept = tuple(queue for queue in harness.configuration.queues if queue.name != QUEUE)
    (removed,) = set(harness.configuration.queues) - set(kept)
    configure(harness, queues=kept)

    def restore(**changes):
        configure(harness, queues=(evolve(removed, **changes), *kept))

    return restore


def fail_first_run(harness, task):
    """Let the first run of a task fail, on whichever worker."""
    first_starts = []

    def fails(name):
        if name == task and not first_starts:
            first_starts.append(name)
            return True
        return False

    for worker in harness.workers.values():
        worker.fails_task = fails
        worker.fail_after_ms = worker.work_ms = 800.0


def change_owner(harness):
    harness.is_owner_down = True
    harness.run(300)
    harness.take_over()


def failed_runs(harness, task):
    return sum(
        run.how == "failed" and run.task == task
        for worker in harness.workers.values()
        for run in worker.history
    )


@pytest.fixture
def harness(make_harness):
    return make_harness(workers=4, max_attempts=MAX_ATTEMPTS)


# A job was shown as failed at its first failed attempt while its queue was removed.
@pytest.mark.parametrize("owner_changes", [False, True])
@pytest.mark.parametrize("gang", [False, True])
def test_job_keeps_its_attempts_while_its_queue_is_removed(
    harness, owner_changes, gang
):
    fail_first_run(harness, FIRST_TASK)
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 500, "gang": gang}))
    harness.run(300)
    restore = remove_queue(harness)
    harness.run(50)
    if owner_changes:
        change_owner(harness)
    harness.run(1_000)
    assert failed_runs(harness, FIRST_TASK) == 1
    assert harness.job(JOB).state is not JobState.FAILED
    restore()
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# A job whose queue is never named again still ends as its attempts say.
def test_job_of_removed_queue_fails_after_its_last_attempt(harness):
    for worker in harness.workers.values():
        worker.fails_all = True
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(20)
    remove_queue(harness)
    harness.run(15_000)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert failed_runs(harness, FIRST_TASK) == MAX_ATTEMPTS


# An accepted job ran nothing beside free workers while its queue was removed.
@pytest.mark.parametrize("owner_changes", [False, True])
def test_accepted_job_goes_on_while_its_queue_is_removed(harness, owner_changes):
    first_step = {"count": 4, "cpu_milli": 500}
    spec = job_spec(first_step, {"count": 2, "cpu_milli": 500, "after": (0,)})
    harness.submit(JOB, spec)
    harness.run(100)
    allowed_ms = harness.job(JOB).objective_ms - harness.job(JOB).accepted_ms
    remove_queue(harness)
    harness.run(50)
    if owner_changes:
        change_owner(harness)
    job = harness.job(JOB)
    assert job.objective_ms - job.accepted_ms == allowed_ms
    harness.run(2 * 800 + STANDSTILL_MS)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# An instance may accept a job by a configuration that its owner has replaced already.
def test_job_accepted_just_after_its_queue_was_removed_runs(harness):
    remove_queue(harness)
    harness.run(2_500)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(50)
    change_owner(harness)
    harness.run(800 + STANDSTILL_MS)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def forget_policies(harness):
    """Remove all policies from the store, as if an earlier release had written it."""
    for key in [key for key in harness.store if key[0] in "qa"]:
        del harness.store[key]


# Stored jobs of earlier releases don't tell what their queue said.
def test_job_with_unknown_policy_is_neither_failed_nor_started(harness):
    fail_first_run(harness, FIRST_TASK)
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 500, "estimated_ms": 800}))
    harness.run(300)
    restore = remove_queue(harness)
    harness.run(50)
    forget_policies(harness)
    change_owner(harness)
    harness.run(1_500)
    assert failed_runs(harness, FIRST_TASK) == 1
    assert harness.job(JOB).state is JobState.RUNNING
    assert len(harness.starts_of(FIRST_TASK)) == 1
    restore()
    harness.run(20)
    assert harness.job(JOB).objective_ms > harness.job(JOB).accepted_ms
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def take_no_starts(harness, *, draining):
    """Let the workers announce that they are leaving, or that they stay after all."""
    harness.publish_worker_list(
        [evolve(entry, draining=draining) for entry in harness.entries]
    )


# A task must not start again once as many runs have failed as its queue now allows.
@pytest.mark.parametrize("owner_changes", [False, True])
@pytest.mark.parametrize("is_removed_between", [False, True])
def test_lowered_attempts_end_a_job_that_has_used_them(
    harness, is_removed_between, owner_changes
):
    for worker in harness.workers.values():
        worker.fails_all = True
        worker.fail_after_ms = 400.0
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    restore = remove_queue(harness)
    if not is_removed_between:
        restore()
    take_no_starts(harness, draining=True)
    harness.run(300)
    assert failed_runs(harness, FIRST_TASK) == 1
    restore(max_attempts=1)
    if owner_changes:
        change_owner(harness)
    harness.run(300)
    take_no_starts(harness, draining=False)
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_of(FIRST_TASK)) == 1


# After a change of owner the runs of a removed account were bounded by no limit.
@pytest.mark.parametrize("owner_changes", [False, True])
def test_account_keeps_its_limit_while_it_is_removed(harness, owner_changes):
    limit = ResourceLimit(cpu_milli=1_000)
    configure(harness, accounts=(AccountPolicy(name=ACCOUNT, limit=limit),))
    for worker in harness.workers.values():
        worker.work_ms = 1_500.0
    harness.submit(JOB, job_spec({"count": 8, "cpu_milli": 500}), account_name=ACCOUNT)
    harness.run(100)
    configure(harness, accounts=())
    harness.run(50)
    if owner_changes:
        change_owner(harness)
    for _ in range(6_000 // 50):
        harness.run(50)
        assert len(harness.running()) <= 2
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# What is stored about queues is bounded by the queues that are named or still used.
def test_policies_are_stored_once_and_removed_when_unused(harness):
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(50)
    stored = {key for key in harness.store if key[0] in "qa"}
    assert len(stored) == 1
    batches = []
    take = harness.cell.journal.take
    harness.cell.journal.take = lambda now_ms: (
        batches.append(take(now_ms)) or batches[-1]
    )
    timeouts = [
        evolve(queue, timeout_ms=50.0) for queue in harness.configuration.queues
    ]
    configure(harness, queues=tuple(timeouts))
    harness.run(50)
    assert not any(key in stored for batch in batches for key, _ in batch.records)
    remove_queue(harness)
    harness.run(30_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert not stored & harness.store.keys()
