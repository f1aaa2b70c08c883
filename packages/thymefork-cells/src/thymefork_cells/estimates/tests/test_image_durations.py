"""Learned durations by image."""

from types import SimpleNamespace

import pytest

from thymefork_cells.estimates import ImageDurations
from thymefork_cells.estimates.image_durations import MAX_IMAGES
from thymefork_cells.specs import StepSpec, WorkerEntry
from thymefork_cells.state import Run, RunState, Worker


def test_only_latest_images_are_kept():
    """Callers may use a new image for each build."""
    durations = ImageDurations()
    for number in range(3 * MAX_IMAGES):
        durations.learn("steady", 100.0)
        durations.learn(f"build-{number}", 200.0)
    assert durations.known_ms("steady") == 100.0
    assert durations.known_ms(f"build-{3 * MAX_IMAGES - 1}") == 200.0
    assert durations.known_ms("build-0") is None
    assert len(durations._mean_ms) == MAX_IMAGES


def run_at_half(slowness, after_ms):
    """Return a run that reached 50 % after a time on a worker of a slowness."""
    entry = WorkerEntry(
        worker_id="w",
        machine_id="m",
        host="10.0.0.1",
        port=1,
        service="s",
        hall="a",
        cpu_milli=1,
        memory_mb=1,
    )
    spec = StepSpec(image="i", estimated_ms=1_000)
    return Run(
        task=SimpleNamespace(step=SimpleNamespace(spec=spec)),
        run_id=1,
        worker=Worker(entry=entry, slowness=slowness),
        state=RunState.LIVE,
        began_ms=1.0,
        percent=50,
        first_percent=0,
        first_reported_ms=1.0,
        reported_ms=1.0 + after_ms,
    )


@pytest.mark.parametrize(
    ("slowness", "factor"), [(1.0, 1.0), (2.0, 1.0), (4.0, 1.0), (15.0, 15.0)]
)
def test_only_far_slower_workers_cause_overruns(slowness, factor):
    durations = ImageDurations()
    durations.learn("i", 1_000.0)
    run = run_at_half(slowness, 500.0 * slowness)
    assert durations.overrun_factor(run) == pytest.approx(factor)
    assert (durations.late_ms(run, run.reported_ms) > 0) is (factor > 2.0)
