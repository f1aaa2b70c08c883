"""What a job's end tells of its work, by which losses are judged."""

import pytest

from .heterogeneous_site import SLOW, HeterogeneousSite


def ended_line(site, job_id):
    """Return the fields of the line on a job's end."""
    lines = [note.fields for note in site.notes if note.event == "job_ended"]
    return next(fields for fields in lines if fields["job"] == job_id)


def play(slownesses, *, seed=3):
    site = HeterogeneousSite(seed=seed, slownesses=slownesses)
    site.load(8_000.0, small=133.0, batch=700.0)
    sent = site.load(12_000.0, small=133.0, batch=700.0)
    site.run(15_000.0)
    return site, sent


@pytest.mark.parametrize("slownesses", [(1.0,), (SLOW, SLOW, 1.0 / 1.7)])
def test_late_jobs_are_told_by_sound_workers(slownesses):
    """As many are late by the log as by their callers, also where workers differ."""
    site, sent = play(slownesses)
    told, late = 0, 0
    for job_id in sent:
        job = site.job(job_id)
        line = ended_line(site, job_id)
        told += line["after_ms"] > line["measured_objective_ms"]
        late += job.ended_ms > site.objectives_ms[job_id]
    assert abs(told - late) <= 0.05 * len(sent)


def test_a_tail_is_no_part_of_the_work():
    site, sent = play((1.0,))
    batch = [job_id for job_id in sent if site.job(job_id).queue_name == "batch"]
    for job_id in batch:
        worked_ms = [task.worked_ms for task in site.job(job_id).steps[0].tasks]
        assert ended_line(site, job_id)["worked_ms"] <= sorted(worked_ms)[-2] + 1
