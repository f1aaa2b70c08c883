"""More work than there is room for, for a while.

The pattern: jobs of one queue come at one and a half times what the workers bear for
some seconds, as when many users come at once, and then less than they bear. Taken in
the order of their objectives alone, each is started once it is too late for it, and
nearly all are late; those that can't be in time any more let the others go first.
"""

from .harness import job_spec

JOB = {"count": 4, "cpu_milli": 2_000, "estimated_ms": 800}
# Four workers of eight cores run four such jobs at once, each for 0.8 s.
BORNE_A_SECOND = 5.0


def submit_at(harness, rate, for_s, first):
    for number in range(int(rate * for_s)):
        harness.submit(f"{first + number:016x}", job_spec(JOB))
        harness.run(1_000 / rate)


def share_in_time(harness):
    jobs = harness.cell.context.jobs.values()
    in_time = [job.ended_ms and job.ended_ms <= job.objective_ms for job in jobs]
    return sum(in_time) / len(in_time)


def test_in_a_burst_most_jobs_that_can_be_in_time_are(make_harness):
    harness = make_harness(workers=4)
    submit_at(harness, 1.5 * BORNE_A_SECOND, 8, first=0)
    submit_at(harness, 0.6 * BORNE_A_SECOND, 4, first=1_000)
    harness.run(15_000)
    assert share_in_time(harness) > 0.6


def test_what_is_late_ends_all_the_same(make_harness):
    harness = make_harness(workers=4)
    submit_at(harness, 1.5 * BORNE_A_SECOND, 8, first=0)
    harness.run(20_000)
    states = {str(job.state) for job in harness.cell.context.jobs.values()}
    assert states == {"succeeded"}


def test_without_overload_all_are_in_time(make_harness):
    harness = make_harness(workers=4)
    submit_at(harness, 0.7 * BORNE_A_SECOND, 8, first=0)
    harness.run(5_000)
    assert share_in_time(harness) == 1.0


def test_lasting_work_is_never_too_late(make_harness):
    harness = make_harness(workers=1)
    harness.submit("a" * 16, job_spec({**JOB, "count": 2}))
    harness.run(50)
    harness.submit("b" * 16, job_spec({**JOB, "count": 1, "cpu_milli": 8_000}))
    lasting = {"count": 1, "cpu_milli": 4_000, "long_running": True}
    harness.submit("c" * 16, job_spec(lasting))
    harness.run(3_000)
    assert harness.starts_of("c" * 16 + ".0.0.0")
