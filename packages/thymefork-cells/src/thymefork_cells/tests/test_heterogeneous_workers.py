"""Placement by learned speed on heterogeneous workers under light load.

Urgent jobs with tight objectives must get fast workers, batch jobs leave these free.
"""

from math import log

import pytest

from thymefork_cells.effects import StartRun
from thymefork_cells.estimates import LearnedSpeed

from .harness import job_spec
from .heterogeneous_harness import FAST, HeterogeneousHarness

SEEDS = (1, 2, 3, 4)
SMALL_GAP_MS = 133.0
BATCH_GAP_MS = 700.0
LEARN_MS = 4_000.0
LOAD_MS = 20_000.0
SETTLE_MS = 15_000.0


class RecordingHarness(HeterogeneousHarness):
    """Record for each start whether a fast worker had capacity and was used."""

    def __init__(self, **fields):
        self.choices = []
        super().__init__(**fields)

    def _perform(self, cell, effect):
        if isinstance(effect, StartRun):
            self._record_choice(cell, effect.run)
        super()._perform(cell, effect)

    def _record_choice(self, cell, run):
        fast = [
            worker
            for worker in cell.context.workers.values()
            if self.is_fast(worker.worker_id)
        ]
        had_capacity = any(
            worker.has_capacity(run.step) or worker is run.worker for worker in fast
        )
        is_fast = self.is_fast(run.worker.worker_id)
        job = run.task.step.job
        self.choices.append((job.job_id, had_capacity, is_fast))

    def share_on_fast(self, job_ids):
        """Return the share of starts on fast workers while one had capacity."""
        chosen = [
            is_fast
            for job_id, had_capacity, is_fast in self.choices
            if had_capacity and job_id in job_ids
        ]
        return sum(chosen) / len(chosen)


def of_queue(harness, job_ids, queue_name):
    return {
        job_id for job_id in job_ids if harness.job(job_id).queue_name == queue_name
    }


def run_mixed_load(harness):
    """Run small and batch jobs; return those after the speeds are known."""
    harness.load(LEARN_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    sent = harness.load(LOAD_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    harness.run(SETTLE_MS)
    return of_queue(harness, sent, "q"), of_queue(harness, sent, "batch")


def disable_learning(harness):
    harness.cell.speeds.learn = lambda **fields: False


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_jobs_start_on_fast_workers(seed):
    harness = RecordingHarness(seed=seed)
    harness.load(LEARN_MS, small=SMALL_GAP_MS)
    sent = set(harness.load(LOAD_MS, small=SMALL_GAP_MS))
    harness.run(SETTLE_MS)
    assert harness.share_on_fast(sent) >= 0.9
    assert harness.fraction_on_time(sent) >= 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_batch_jobs_leave_fast_workers_to_urgent_jobs(seed):
    harness = RecordingHarness(seed=seed)
    small, batch = run_mixed_load(harness)
    assert harness.share_on_fast(small) >= 0.8
    assert harness.share_on_fast(batch) <= 0.5
    without_learning = RecordingHarness(seed=seed)
    disable_learning(without_learning)
    small_then, batch_then = run_mixed_load(without_learning)
    assert harness.fraction_on_time(small) >= without_learning.fraction_on_time(
        small_then
    )
    assert (
        harness.fraction_on_time(batch)
        >= without_learning.fraction_on_time(batch_then) - 0.05
    )


def test_homogeneous_workers_are_chosen_as_without_learning():
    """On homogeneous workers, placement must not depend on learned speeds."""
    starts = []
    for learns in (True, False):
        harness = HeterogeneousHarness(seed=5, slownesses=(1.0,))
        if not learns:
            disable_learning(harness)
        harness.load(LOAD_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
        starts.append({name: w.starts for name, w in harness.workers.items()})
        assert not harness.cell.speeds.is_heterogeneous
    assert starts[0] == starts[1]


def moved_from_slow(harness):
    """Return how many runs were moved from slow workers."""
    workers = [n.fields["worker"] for n in harness.notes if n.event == "run_moves"]
    return sum(not harness.is_fast(name) for name in workers)


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_workers_do_not_count_as_failing(seed):
    """Guards against moving runs that merely run on a slow worker."""
    harness = HeterogeneousHarness(seed=seed)
    run_mixed_load(harness)
    without_learning = HeterogeneousHarness(seed=seed)
    disable_learning(without_learning)
    run_mixed_load(without_learning)
    assert 3 * moved_from_slow(harness) < moved_from_slow(without_learning)
    learned = {True: [], False: []}
    for worker in harness.cell.context.workers.values():
        learned[harness.is_fast(worker.worker_id)].append(worker.slowness)
    assert max(learned[True]) < min(learned[False])


@pytest.mark.parametrize("seed", SEEDS)
def test_temporarily_slow_workers_are_paused_but_not_learned(seed):
    harness = HeterogeneousHarness(seed=seed)
    harness.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    slowed = [name for name in harness.workers if harness.is_fast(name)][:4]
    slowed_workers = [harness.cell.context.workers[name] for name in slowed]
    before = [worker.slowness for worker in slowed_workers]
    harness.notes.clear()
    for name in slowed:
        harness.workers[name].slow_factor = 5.0 * FAST
    harness.load(6_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    for name in slowed:
        harness.workers[name].slow_factor = FAST
    paused = [note for note in harness.notes if note.event == "worker_slow"]
    assert {note.fields["worker"] for note in paused} & set(slowed)
    harness.load(4_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    for worker, slowness in zip(slowed_workers, before, strict=True):
        assert worker.slowness <= 1.3 * slowness


# Takeovers and restarts -------------------------------------------------------


@pytest.mark.parametrize("is_announced", [True, False])
def test_new_owner_uses_announced_speeds_at_once(is_announced):
    """Without announcements, the new owner learns the speeds again."""
    harness = RecordingHarness(seed=7)
    harness.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    fast = {f"m-{name}" for name in harness.workers if harness.is_fast(name)}
    assert len(fast & harness.announced_speeds.keys()) >= 6
    if not is_announced:
        harness.announced_speeds.clear()
    harness.is_owner_down = True
    harness.run(500)
    harness.take_over()
    assert harness.cell.speeds.is_heterogeneous is is_announced
    harness.run(1_500)
    first = set(harness.load(3_000.0, small=SMALL_GAP_MS))
    if is_announced:
        assert harness.share_on_fast(first) >= 0.85
    harness.load(2 * LEARN_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    assert harness.cell.speeds.is_heterogeneous
    later = set(harness.load(8_000.0, small=SMALL_GAP_MS))
    assert harness.share_on_fast(later) >= 0.75


def test_cell_runs_on_without_workers():
    harness = HeterogeneousHarness(seed=7)
    harness.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    assert harness.cell.speeds.is_heterogeneous
    harness.run(30_000.0)
    harness.publish_worker_list([])
    for worker in harness.workers.values():
        worker.is_unreachable = True
    harness.run(60_000.0)
    assert not harness.cell.context.workers


def test_speeds_are_kept_while_cell_is_idle():
    """Variance grows meanwhile, but machines stay the same."""
    harness = RecordingHarness(seed=7)
    harness.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    harness.run(300_000.0)
    first = set(harness.load(3_000.0, small=SMALL_GAP_MS))
    assert harness.share_on_fast(first) >= 0.85


def test_restarted_worker_keeps_its_speed():
    harness = HeterogeneousHarness(seed=8)
    harness.load(8_000.0, small=SMALL_GAP_MS)
    name = next(name for name in harness.workers if harness.is_fast(name))
    before = harness.cell.context.workers[name].slowness
    harness.restart(harness.workers[name], away_ms=1_000.0)
    harness.load(4_000.0, small=SMALL_GAP_MS)
    again = harness.cell.context.workers[name]
    assert again.incarnation_number
    assert again.slowness == pytest.approx(before, rel=0.25)


# A machine that is permanently far slower ---------------------------------------


@pytest.mark.parametrize("seed", SEEDS)
def test_far_slower_machine_gets_no_work(seed):
    """A previous owner announced its speed; others have capacity."""
    harness = HeterogeneousHarness(seed=seed)
    harness.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    far_slower = next(name for name in harness.workers if not harness.is_fast(name))
    machine = f"m-{far_slower}"
    harness.workers[far_slower].slow_factor = 15.0
    harness.announced_speeds[machine] = LearnedSpeed(
        machine=machine, log_slowness=log(15.0)
    )
    harness.is_owner_down = True
    harness.run(500)
    harness.take_over()
    harness.run(1_500)
    sent = harness.load(LOAD_MS, small=3 * SMALL_GAP_MS, batch=3 * BATCH_GAP_MS)
    assert harness.cell.context.workers[far_slower].slowness > 4.0
    assert far_slower not in harness.starts(set(sent))


# Gangs ------------------------------------------------------------------------


@pytest.mark.parametrize("seed", SEEDS)
def test_gang_with_tight_objective_uses_fast_workers_only(seed):
    """A gang ends with its slowest member."""
    harness = HeterogeneousHarness(seed=seed)
    harness.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    harness.run(10_000.0)
    step = {
        "count": 6,
        "cpu_milli": 6_000,
        "memory_mb": 100,
        "estimated_ms": 800,
        "image": "g",
        "gang": True,
    }
    harness.submit("ffffffffffffffff", job_spec(step))
    harness.run(100.0)
    members = harness.starts({"ffffffffffffffff"})
    assert len(members) == 6
    assert all(harness.is_fast(name) for name in members)


def test_gang_members_share_the_slowest_slowness():
    """All members end with the slowest one, whose slowness applies to each."""
    harness = HeterogeneousHarness(seed=1)
    harness.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    harness.run(10_000.0)
    step = {
        "count": 36,
        "cpu_milli": 6_000,
        "memory_mb": 100,
        "estimated_ms": 800,
        "image": "g",
        "gang": True,
    }
    harness.submit("ffffffffffffffff", job_spec(step))
    harness.run(100.0)
    runs = [
        run
        for task in harness.job("ffffffffffffffff").steps[0].tasks
        for run in task.runs
    ]
    slownesses = [run.worker.slowness for run in runs]
    assert min(slownesses) < 1.0 < max(slownesses)
    assert {run.slowness for run in runs} == {max(slownesses)}
    for run in sorted(runs, key=lambda run: -run.worker.slowness):
        run.task.runs.remove(run)  # its end is reported and applied
        assert run.slowness == max(slownesses)
    assert {run.slowness for run in runs} == {max(slownesses)}
