"""Workers of unlike speed, light load: urgent jobs go to fast workers with room.

The load: 24 workers of which 8 are 2.4 times as fast, which nothing tells; small urgent
jobs that ask a tenth of the room, with an objective of one and a half times their work
and a quarter of a second, alone or beside batch work with time to spare. One run in 33
takes seven times as long. A caller of a small job waits at a counter: nine in ten begin
on a fast worker while one has room, and batch work leaves them that room.
"""

from math import log

import pytest

from thymefork_cells.effects import StartRun
from thymefork_cells.estimates import LearnedSpeed

from .harness import job_spec
from .heterogeneous_site import FAST, HeterogeneousSite

SEEDS = (1, 2, 3, 4)
SMALL_GAP_MS = 133.0
BATCH_GAP_MS = 700.0
LEARN_MS = 4_000.0
LOAD_MS = 20_000.0
SETTLE_MS = 15_000.0


class WatchedSite(HeterogeneousSite):
    """Note of each start whether a fast worker had room, and which worker it got."""

    def __init__(self, **fields):
        self.choices = []
        super().__init__(**fields)

    def _perform(self, cell, effect):
        if isinstance(effect, StartRun):
            self._note_choice(cell, effect.run)
        super()._perform(cell, effect)

    def _note_choice(self, cell, run):
        fast = [
            worker
            for worker in cell.context.workers.values()
            if self.is_fast(worker.worker_id)
        ]
        had_room = any(
            worker.has_capacity(run.step) or worker is run.worker for worker in fast
        )
        is_fast = self.is_fast(run.worker.worker_id)
        job = run.task.step.job
        self.choices.append((job.job_id, had_room, is_fast))

    def share_on_fast(self, job_ids):
        """Return the share on fast workers of the starts while one had room."""
        chosen = [
            is_fast
            for job_id, had_room, is_fast in self.choices
            if had_room and job_id in job_ids
        ]
        return sum(chosen) / len(chosen)


def of_queue(site, job_ids, queue_name):
    return {job_id for job_id in job_ids if site.job(job_id).queue_name == queue_name}


def mixed(site):
    """Play small jobs beside batch jobs; return those after the speeds are known."""
    site.load(LEARN_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    sent = site.load(LOAD_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.run(SETTLE_MS)
    return of_queue(site, sent, "q"), of_queue(site, sent, "batch")


def never_learn(site):
    site.cell.speeds.learn = lambda **fields: False


@pytest.mark.parametrize("seed", SEEDS)
def test_small_urgent_jobs_begin_on_fast_workers(seed):
    site = WatchedSite(seed=seed)
    site.load(LEARN_MS, small=SMALL_GAP_MS)
    sent = set(site.load(LOAD_MS, small=SMALL_GAP_MS))
    site.run(SETTLE_MS)
    assert site.share_on_fast(sent) >= 0.9
    assert site.fraction_on_time(sent) >= 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_batch_work_leaves_fast_workers_to_urgent_jobs(seed):
    site = WatchedSite(seed=seed)
    small, batch = mixed(site)
    assert site.share_on_fast(small) >= 0.8
    assert site.share_on_fast(batch) <= 0.5
    unaware = WatchedSite(seed=seed)
    never_learn(unaware)
    small_then, batch_then = mixed(unaware)
    assert site.fraction_on_time(small) >= unaware.fraction_on_time(small_then)
    assert site.fraction_on_time(batch) >= unaware.fraction_on_time(batch_then) - 0.05


def test_alike_workers_are_chosen_as_without_speeds():
    """Where all are alike, each task goes where it would go if nothing was learned."""
    starts = []
    for learns in (True, False):
        site = HeterogeneousSite(seed=5, slownesses=(1.0,))
        if not learns:
            never_learn(site)
        site.load(LOAD_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
        starts.append({name: w.starts for name, w in site.workers.items()})
        assert not site.cell.speeds.is_heterogeneous
    assert starts[0] == starts[1]


def moved_from_slow(site):
    """Return how many runs were moved away from the slow workers."""
    workers = [n.fields["worker"] for n in site.notes if n.event == "run_moves"]
    return sum(not site.is_fast(name) for name in workers)


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_sound_workers_are_not_sick(seed):
    """What is moved from them has a long tail, and does not just take its time."""
    site = HeterogeneousSite(seed=seed)
    mixed(site)
    unaware = HeterogeneousSite(seed=seed)
    never_learn(unaware)
    mixed(unaware)
    assert 3 * moved_from_slow(site) < moved_from_slow(unaware)
    learned = {True: [], False: []}
    for worker in site.cell.context.workers.values():
        learned[site.is_fast(worker.worker_id)].append(worker.slowness)
    assert max(learned[True]) < min(learned[False])


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_that_are_slow_for_a_while_are_paused_and_not_remembered_so(seed):
    site = HeterogeneousSite(seed=seed)
    site.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    slowed = [name for name in site.workers if site.is_fast(name)][:4]
    followed = [site.cell.context.workers[name] for name in slowed]
    before = [worker.slowness for worker in followed]
    site.notes.clear()
    for name in slowed:
        site.workers[name].slow_factor = 5.0 * FAST
    site.load(6_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    for name in slowed:
        site.workers[name].slow_factor = FAST
    paused = [note for note in site.notes if note.event == "worker_slow"]
    assert {note.fields["worker"] for note in paused} & set(slowed)
    site.load(4_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    for worker, slowness in zip(followed, before, strict=True):
        assert worker.slowness <= 1.3 * slowness


# Takeovers and restarts -------------------------------------------------------


@pytest.mark.parametrize("is_told", [True, False])
def test_a_new_owner_places_by_speed_at_once_only_if_it_was_told(is_told):
    """With news it places by speed from its first task on; without, it learns anew."""
    site = WatchedSite(seed=7)
    site.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    fast = {f"m-{name}" for name in site.workers if site.is_fast(name)}
    assert len(fast & site.announced_speeds.keys()) >= 6
    if not is_told:
        site.announced_speeds.clear()
    site.is_owner_down = True
    site.run(500)
    site.take_over()
    assert site.cell.speeds.is_heterogeneous is is_told
    site.run(1_500)
    first = set(site.load(3_000.0, small=SMALL_GAP_MS))
    if is_told:
        assert site.share_on_fast(first) >= 0.85
    site.load(2 * LEARN_MS, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    assert site.cell.speeds.is_heterogeneous
    later = set(site.load(8_000.0, small=SMALL_GAP_MS))
    assert site.share_on_fast(later) >= 0.75


def test_a_cell_takes_its_turns_when_all_workers_are_gone():
    site = HeterogeneousSite(seed=7)
    site.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    assert site.cell.speeds.is_heterogeneous
    site.run(30_000.0)
    site.publish_worker_list([])
    for worker in site.workers.values():
        worker.is_unreachable = True
    site.run(60_000.0)
    assert not site.cell.context.workers


def test_speeds_are_kept_while_a_cell_has_no_work():
    """Doubt grows meanwhile, but machines stay what they are."""
    site = WatchedSite(seed=7)
    site.load(12_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.run(300_000.0)
    first = set(site.load(3_000.0, small=SMALL_GAP_MS))
    assert site.share_on_fast(first) >= 0.85


def test_a_worker_that_starts_again_under_its_id_keeps_its_speed():
    site = HeterogeneousSite(seed=8)
    site.load(8_000.0, small=SMALL_GAP_MS)
    name = next(name for name in site.workers if site.is_fast(name))
    before = site.cell.context.workers[name].slowness
    site.restart(site.workers[name], away_ms=1_000.0)
    site.load(4_000.0, small=SMALL_GAP_MS)
    again = site.cell.context.workers[name]
    assert again.number
    assert again.slowness == pytest.approx(before, rel=0.25)


# A machine that is far slower for good ---------------------------------------


@pytest.mark.parametrize("seed", SEEDS)
def test_a_machine_that_is_far_slower_for_good_attracts_no_work(seed):
    """As it was told by an owner before; others have room at this load."""
    site = HeterogeneousSite(seed=seed)
    site.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    sick = next(name for name in site.workers if not site.is_fast(name))
    machine = f"m-{sick}"
    site.workers[sick].slow_factor = 15.0
    site.announced_speeds[machine] = LearnedSpeed(
        machine=machine, log_slowness=log(15.0)
    )
    site.is_owner_down = True
    site.run(500)
    site.take_over()
    site.run(1_500)
    sent = site.load(LOAD_MS, small=3 * SMALL_GAP_MS, batch=3 * BATCH_GAP_MS)
    assert site.cell.context.workers[sick].slowness > 4.0
    assert sick not in site.starts(set(sent))


# Gangs ------------------------------------------------------------------------


@pytest.mark.parametrize("seed", SEEDS)
def test_a_gang_with_a_tight_objective_takes_fast_members_alone(seed):
    """It ends with its slowest member."""
    site = HeterogeneousSite(seed=seed)
    site.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.run(10_000.0)
    step = {
        "count": 6,
        "cpu_milli": 6_000,
        "memory_mb": 100,
        "estimated_ms": 800,
        "image": "g",
        "gang": True,
    }
    site.submit("ffffffffffffffff", job_spec(step))
    site.run(100.0)
    members = site.starts({"ffffffffffffffff"})
    assert len(members) == 6
    assert all(site.is_fast(name) for name in members)


def test_members_of_a_gang_are_judged_alike_in_whatever_order_they_end():
    """All end with the slowest, so the time of each is the slowest one's."""
    site = HeterogeneousSite(seed=1)
    site.load(8_000.0, small=SMALL_GAP_MS, batch=BATCH_GAP_MS)
    site.run(10_000.0)
    step = {
        "count": 36,
        "cpu_milli": 6_000,
        "memory_mb": 100,
        "estimated_ms": 800,
        "image": "g",
        "gang": True,
    }
    site.submit("ffffffffffffffff", job_spec(step))
    site.run(100.0)
    runs = [
        run for task in site.job("ffffffffffffffff").steps[0].tasks for run in task.runs
    ]
    slownesses = [run.worker.slowness for run in runs]
    assert min(slownesses) < 1.0 < max(slownesses)
    assert {run.slowness for run in runs} == {max(slownesses)}
    for run in sorted(runs, key=lambda run: -run.worker.slowness):
        run.task.runs.remove(run)  # its end is listed and applied
        assert run.slowness == max(slownesses)
    assert {run.slowness for run in runs} == {max(slownesses)}
