"""Encode and decode the stored records of a job: its spec and its progress."""

from itertools import groupby
from math import inf
from operator import attrgetter

import attrs
import orjson

from ..specs import JobSpec, StepSpec
from ..state import DelayedStart, Job, JobState, Run, RunState, WorkerLoss

__all__ = [
    "JOB_KEY",
    "PART_KEY",
    "PROGRESS_KEY",
    "decode_ended_job",
    "decode_job",
    "decode_progress",
    "decode_spec",
    "encode_divided_progress",
    "encode_job",
    "encode_part",
    "encode_progress",
    "encode_spec",
    "is_longer",
    "part_key",
]

JOB_KEY = "j"
PROGRESS_KEY = "p"
PART_KEY = "t"
# Longest encoding of a character in a record, such as a control character's.
MAX_CHARACTER_BYTES = 6
# Read by earlier releases as the time of a task's first unanswered start.
NOT_UNANSWERED = (0,)


def _non_default_fields(value):
    return {
        attribute.name: getattr(value, attribute.name)
        for attribute in attrs.fields(type(value))
        if getattr(value, attribute.name) != attribute.default
    }


def encode_spec(spec):
    """Return the bytes of a job spec; fields with default values are omitted."""
    document = _non_default_fields(spec)
    document["steps"] = [_non_default_fields(step) for step in spec.steps]
    return orjson.dumps(document)


def decode_spec(data):
    """Return the job spec that `encode_spec` encoded."""
    return _spec_from_document(orjson.loads(data))


def _spec_from_document(document):
    steps = tuple(_step_from_document(step) for step in document.pop("steps"))
    return JobSpec(steps=steps, **document)


def _step_from_document(document):
    if "after" in document:
        document["after"] = tuple(document["after"])
    return StepSpec(**document)


def encode_job(job, *, epoch_ms, now_ms):
    """Return the record of an accepted job; its times are Unix times."""
    spec = orjson.Fragment(encode_spec(job.spec))
    accepted_epoch_ms = round(epoch_ms - (now_ms - job.accepted_ms))
    record = [job.queue_name, accepted_epoch_ms, spec]
    if job.account_name:
        record.append(job.account_name)
    return orjson.dumps(record)


def decode_ended_job(job_id, progress):
    """Return an ended job without its steps, or None if the job has not ended.

    Of ended jobs, which are most of those taken over, only the state is needed.
    """
    state, rows, *division = orjson.loads(progress)
    if rows or division or not JobState(state).is_final:
        return None
    return Job(
        job_id=job_id,
        queue_name="",
        spec=JobSpec(),
        accepted_ms=0.0,
        state=JobState(state),
        visible_state=JobState(state),
    )


def decode_job(job_id, data, *, usage_of, epoch_ms, now_ms):
    """Return a job from its record; `usage_of` returns the usage of an account."""
    queue_name, accepted_epoch_ms, document, *account = orjson.loads(data)
    account_name = account[0] if account else ""
    spec = _spec_from_document(document)
    accepted_ms = now_ms - max(0.0, epoch_ms - accepted_epoch_ms)
    first_start_ms = accepted_ms
    if spec.repeat_count:
        first_start_ms = now_ms + spec.first_start_epoch_ms - epoch_ms
    return Job.create(
        job_id=job_id,
        queue_name=queue_name,
        account_name=account_name,
        usage=usage_of(account_name),
        spec=spec,
        now_ms=accepted_ms,
        first_start_ms=first_start_ms,
    )


def encode_progress(job):
    """Return the record of a job's progress.

    The record of an ended job holds only its state. Otherwise it lists each started
    step with the indices of its finished tasks (-1 for all) and, for other tasks, run
    and failure counts, the checkpoint, the runs that may exist, the worker losses, the
    starts of the incarnations of these workers, when the runs were created and at what
    age they were lost at most, and the starts of released runs that may still arrive.
    What was added later comes last, so that older readers ignore it.
    """
    if job.is_over:
        return orjson.dumps([job.state, []])
    steps = []
    for step in job.steps:
        row = _step_row(step, step.tasks)
        if row is not None:
            steps.append(row)
    return orjson.dumps([job.state, steps])


def encode_divided_progress(job, tasks_per_part):
    """Return the record of a job whose tasks are in records of their own, its parts.

    Earlier releases can't read it and leave the job's cell to others.
    """
    return orjson.dumps([job.state, [], tasks_per_part])


def part_key(job_id, part):
    """Return the key of one part of a job's progress."""
    return f"{PART_KEY}{job_id}.{part}"


def encode_part(tasks, max_checkpoint_bytes):
    """Return the record of some tasks of a job, without checkpoints that are longer."""
    steps = []
    for step, tasks_of_step in groupby(tasks, key=attrgetter("step")):
        row = _step_row(step, list(tasks_of_step), max_checkpoint_bytes)
        if row is not None:
            steps.append(row)
    return orjson.dumps(steps)


def _step_row(step, tasks, max_checkpoint_bytes=inf):
    """Return what is stored of a step's tasks, None if none of them was started."""
    done, rows = [], []
    for task in tasks:
        if task.done:
            done.append(task.index)
        if not task.runs and (task.done or not task.run_count):
            continue
        rows.append(_task_row(task, max_checkpoint_bytes))
    if not done and not rows:
        return None
    if len(done) == len(step.tasks):
        done = -1
    position = step.occurrence * len(step.job.spec.steps) + step.index
    return [position, done, rows, step.gang_failures]


def _task_row(task, max_checkpoint_bytes):
    losses = task.losses.values()
    runs = [[run.run_id, run.worker.worker_id] for run in task.runs]
    checkpoint = task.checkpoint
    if is_longer(checkpoint, max_checkpoint_bytes):
        checkpoint = ""
    row = [task.index, task.run_count, task.failures, checkpoint, runs]
    births_epoch_ms = [run.born_epoch_ms for run in task.runs]
    births_epoch_ms += [loss.born_epoch_ms for loss in losses]
    times_ms = [run.created_epoch_ms for run in task.runs]
    times_ms += [loss.within_ms for loss in losses]
    loss_rows = [_loss_row(loss) for loss in losses]
    unseen_ms = [loss.unseen_ms for loss in losses]
    delayed = [
        [start.run_id, start.worker_id, start.binds_until_epoch_ms]
        for start in task.delayed_starts
    ]
    inherited = [start.is_inherited for start in task.delayed_starts]
    optional = [loss_rows, births_epoch_ms, times_ms, unseen_ms, delayed]
    optional += [NOT_UNANSWERED, inherited]
    while optional and not any(optional[-1]):
        optional.pop()
    return row + optional


def _loss_row(loss):
    return [loss.worker_id, loss.after_ms, loss.is_certain, loss.was_alone]


def is_longer(text, max_bytes):
    """Return whether a text takes more than some bytes in a record."""
    if MAX_CHARACTER_BYTES * len(text) <= max_bytes:
        return False
    return len(orjson.dumps(text)) > max_bytes


def decode_progress(job, data, worker_of, parts=()):
    """Apply stored progress to a job; return how many tasks a part has, 0 without any.

    `worker_of` returns a worker by its id; `parts` are the records of the job's parts.
    Unless its own record names them, nothing depends on them, and they are ignored.
    """
    state, rows, *division = orjson.loads(data)
    job.state = JobState(state)
    job.visible_state = job.state
    tasks_per_part = division[0] if division else 0
    if tasks_per_part:
        rows = [row for part in parts for row in orjson.loads(part)]
    for row in rows:
        _decode_step(job, row, worker_of)
    return tasks_per_part


def _decode_step(job, row, worker_of):
    """Apply a row of a step, which may stand in several parts with some tasks each.

    Parts are stored one after the other: the gang failures count that is highest holds,
    and a gang of which one member is done is done.
    """
    position, done, tasks, gang_failures = row
    step = job.steps[position]
    step.gang_failures = max(step.gang_failures, gang_failures)
    is_whole = done == -1 or (step.spec.gang and done)
    for index in range(len(step.tasks)) if is_whole else done:
        step.tasks[index].done = True
    step.tasks_remaining = sum(not task.done for task in step.tasks)
    job.has_run = job.has_run or bool(done) or step.gang_failures > 0
    for index, *task_row in tasks:
        _decode_task(step.tasks[index], task_row, worker_of)


def _decode_task(task, row, worker_of):
    task.run_count, task.failures, task.checkpoint, runs, *more = row
    if task.failures or task.checkpoint:
        task.step.job.has_run = True
    losses = more[0] if more else []
    unknown = [0] * (len(runs) + len(losses))
    births_epoch_ms = iter(more[1] if len(more) > 1 else unknown)
    times_ms = iter(more[2] if len(more) > 2 else unknown)
    for run_id, worker_id in runs:
        _add_recovered_run(
            task, run_id, worker_of(worker_id), next(births_epoch_ms), next(times_ms)
        )
    unseen_ms = iter(more[3] if len(more) > 3 else unknown)
    for loss in losses:
        _add_loss(
            task,
            loss,
            born_epoch_ms=next(births_epoch_ms),
            within_ms=next(times_ms),
            unseen_ms=next(unseen_ms),
        )
    inherited = iter(more[6] if len(more) > 6 else ())
    for run_id, worker_id, binds_until_epoch_ms in more[4] if len(more) > 4 else ():
        start = DelayedStart(
            task=task,
            run_id=run_id,
            worker_id=worker_id,
            binds_until_epoch_ms=binds_until_epoch_ms,
            is_inherited=next(inherited, False),
        )
        task.delayed_starts.append(start)


def _add_loss(task, row, **times):
    worker_id, after_ms, is_certain, was_alone = row
    loss = WorkerLoss(
        worker_id=worker_id,
        after_ms=after_ms,
        is_certain=is_certain,
        was_alone=was_alone,
        **times,
    )
    task.losses[loss.incarnation] = loss


def _add_recovered_run(task, run_id, worker, born_epoch_ms, created_epoch_ms):
    run = Run(
        task=task,
        run_id=run_id,
        worker=worker,
        state=RunState.RECOVERED,
        born_epoch_ms=born_epoch_ms,
        acknowledged_pace_percent=None,
        created_epoch_ms=created_epoch_ms,
    )
    task.runs.append(run)
    worker.add(run)
