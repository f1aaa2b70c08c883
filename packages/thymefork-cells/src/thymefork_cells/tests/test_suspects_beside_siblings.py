"""Guards against crash suspects that wait for workers without other jobs in vain.

They prefer such workers for a while. One that can't run them is no reason to wait on.
"""

from thymefork_cells.state import WorkerLoss

from .harness import job_spec
from .standstills import StandstillWatch
from .test_standstills import (
    ADVICE,
    LASTING,
    LASTING_STEP,
    MAX_JOB_IDLE_MS,
    WAITING,
    set_lasting,
)

OTHER = "e" * 16
SPREAD_STEP = {**LASTING_STEP, "count": 2, "most_per_worker": 1}


def add_losses(task):
    """Make a task a crash suspect that needs isolation."""
    for number in range(2):
        loss = WorkerLoss(
            worker_id=f"lost-{number}", after_ms=None, is_certain=True, was_alone=False
        )
        task.losses[loss.incarnation] = loss


def occupy_all_but(harness, worker_id):
    """Start another job's lasting task on each worker but one."""
    count = len(harness.workers) - 1
    for worker in harness.workers.values():
        worker.work_ms_of |= {f"{OTHER}.0.0.{index}": 1e9 for index in range(count)}
    harness.is_allowed = lambda step, other_id: (
        not step.startswith(OTHER) or other_id != worker_id
    )
    harness.submit(OTHER, job_spec({**SPREAD_STEP, "count": count}))
    harness.run(2_000)
    assert len(harness.job(OTHER).runs) == count


# The worker of a sibling counted as one without other jobs and kept the task from all
# others, though anti-affinity forbids it there (soak, seed 12: 21 s without a run).
def test_suspect_runs_while_a_sibling_has_a_worker_to_itself(make_harness):
    harness = make_harness(workers=3, advice=ADVICE)
    set_lasting(harness)
    harness.submit(LASTING, job_spec(SPREAD_STEP))
    harness.run(2_000)
    sibling, suspect = harness.job(LASTING).steps[0].tasks
    occupy_all_but(harness, sibling.runs[0].worker.worker_id)
    add_losses(suspect)
    run = suspect.runs[0]
    worker = harness.workers[run.worker.worker_id]
    worker.advance(harness.now)
    worker.end((suspect.name, run.run_id), "failed")
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert 0 < watch.longest_ms.get(suspect.name, 0.0) < MAX_JOB_IDLE_MS


# One worker without other jobs was all that a gang was offered, however large it was.
def test_suspected_gang_runs_though_one_worker_has_no_other_job(make_harness):
    harness = make_harness(workers=3, advice=ADVICE)
    occupy_all_but(harness, sorted(harness.workers)[0])
    harness.submit(
        WAITING,
        job_spec({"count": 2, "cpu_milli": 5_000, "gang": True, "most_per_worker": 1}),
    )
    for task in harness.job(WAITING).steps[0].tasks:
        add_losses(task)
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert harness.starts_of(f"{WAITING}.0.0.0")
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS
