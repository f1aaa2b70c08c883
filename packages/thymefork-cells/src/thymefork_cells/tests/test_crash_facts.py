"""Guards against judgements of crashes on facts that the owner does not have."""

from thymefork_cells.jobs.codec import decode_progress, encode_progress
from thymefork_cells.state import WorkerLoss
from thymefork_cells.workers.crash_evidence import is_certain_cause
from thymefork_cells.workers.crash_rate import CrashRate

from .harness import job_spec
from .test_bystanders import LASTING, LASTING_STEP, crash_under, submit_lasting

# Crashes per worker and millisecond.
FREQUENT = 0.1 / 1_000
FIRST_TASK = f"{LASTING}.0.0.0"


def losses_of(*rows):
    return [
        WorkerLoss(
            worker_id=str(number),
            after_ms=after_ms,
            within_ms=within_ms,
            unseen_ms=700,
            is_certain=True,
            was_alone=True,
        )
        for number, (after_ms, within_ms) in enumerate(rows)
    ]


# A run of 63 s was taken for one of 0.4 s, as its owner had begun 0.4 s before.
def test_age_of_a_run_counts_from_its_creation_by_a_previous_owner():
    assert not is_certain_cause(losses_of((422, 62_900), (402, 402), (555, 555)), 1e-5)
    assert is_certain_cause(losses_of((422, 430), (402, 402), (555, 555)), 1e-5)


def test_run_of_a_previous_owner_clears_its_task(make_harness):
    harness = make_harness(workers=8)
    submit_lasting(harness)
    harness.run(45_000)
    harness.take_over()
    harness.run(1_500)
    crash_under(harness, FIRST_TASK)
    harness.run(4_000)
    assert harness.job(LASTING).steps[0].tasks[0].losses == {}


# A sound lasting job was failed by five crashes that have no point in common.
def test_five_crashes_at_unlike_points_prove_nothing_where_workers_crash_often():
    ages_ms = (8_935, 5_852, 10_985, 5_715, 5_646)
    seen = losses_of(*[(age_ms, age_ms) for age_ms in ages_ms])
    assert not is_certain_cause(seen, FREQUENT)
    same = losses_of(*[(age_ms // 1_000 + 600, 0) for age_ms in ages_ms])
    assert is_certain_cause(same, FREQUENT)


def test_stored_losses_keep_when_the_worker_last_answered(make_harness):
    harness = make_harness(workers=8)
    submit_lasting(harness)
    harness.run(2_500)
    crash_under(harness, FIRST_TASK)
    harness.run(4_000)
    job = harness.job(LASTING)
    (loss,) = job.steps[0].tasks[0].losses.values()
    assert 0 < loss.unseen_ms < 2_000
    data = encode_progress(job)
    job.steps[0].tasks[0].losses.clear()
    decode_progress(job, data, harness.cell.registry.get_or_add_placeholder)
    assert list(job.steps[0].tasks[0].losses.values()) == [loss]


# A new owner knew few crashes and blamed the tasks that had seen them.
def test_next_owner_knows_how_often_workers_crashed(make_harness):
    harness = make_harness(workers=6)
    harness.keeps_worker_ids = True
    harness.return_delay_ms = 500.0
    harness.run(1_000)
    for worker in list(harness.workers.values()) * 2:
        harness.crash(worker)
        harness.run(1_500)
    before = harness.cell.losses.crash_monitor.rate_beside({}, harness.now)
    harness.take_over()
    harness.run(1_000)
    after = harness.cell.losses.crash_monitor.rate_beside({}, harness.now)
    assert 0.7 * before < after < 1.4 * before


def test_stored_rate_outlives_another_steady_clock():
    rate = CrashRate(since_ms=0.0)
    rate.count_workers(4, 100.0)
    for number in range(5):
        rate.record(("w", number), 1_000.0 * number)
    record = rate.encode(epoch_ms=9_000_000.0, now_ms=5_000.0)
    following = CrashRate(since_ms=70.0)
    following.load(record, epoch_ms=9_002_000.0, now_ms=70.0)
    assert following.worker_count == 4
    same = rate.beside({}, 4, 5_000.0)
    assert following.beside({}, 4, 70.0) == same
    assert following.beside({}, 4, 59_000.0) < same  # the first ones are too old


# Workers that were down counted as observed, and the rate came out too low.
def test_workers_that_are_down_do_not_count_for_the_rate():
    rate = CrashRate(since_ms=0.0)
    rate.count_workers(8, 0.0)
    rate.count_workers(8, 10_000.0)
    rate.count_workers(2, 20_000.0)
    assert rate.worker_count == 5


# Lasting tasks whose runs end early never ran long enough to clear their losses.
def test_run_that_ends_by_itself_clears_its_task(make_harness):
    harness = make_harness(workers=8)
    for worker in harness.workers.values():
        worker.work_ms_of = {FIRST_TASK: 900.0}
    harness.submit(LASTING, job_spec({**LASTING_STEP, "count": 1}))
    harness.run(300)
    crash_under(harness, FIRST_TASK)
    harness.run(6_000)
    task = harness.job(LASTING).steps[0].tasks[0]
    assert task.run_count > 2
    assert harness.counts["outlived"] == 1
    assert task.losses == {}
