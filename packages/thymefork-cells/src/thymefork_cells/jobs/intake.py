"""Requests of callers about jobs."""

import time

from ..effects import Outcome, Reply
from ..state import Job, JobState
from .codec import decode_spec
from .objective import set_objective

__all__ = ["STORE_UNAVAILABLE_RETRY_DELAY_MS", "Intake"]

# Retry delay that callers are given while the store is unavailable.
STORE_UNAVAILABLE_RETRY_DELAY_MS = 1_000


class Intake:
    """Accept and cancel jobs, and reply with their states."""

    def __init__(self, *, context, lifecycle, policies, quotas, shares):
        self._context = context
        self._policies = policies
        self._shares = shares
        self._quotas = quotas
        self._lifecycle = lifecycle

    def submit(self, reply_to, job_id, queue_name, data, *, now_ms, account_name=""):
        """Accept a job once its record is stored; repeated ids are idempotent."""
        job = self._context.jobs.get(job_id)
        if job is None:
            spec = decode_spec(data)
            if not self._quotas.can_ever_run(spec, account_name):
                self._refuse_over_limit(reply_to, job_id, account_name)
                return
            job = self._accept(job_id, queue_name, spec, account_name, now_ms)
        elif _belongs_to_other_account(job, account_name):
            self._refuse_other_account(reply_to, job, account_name)
            return
        elif job.visible_state is not None:
            self._lifecycle.reply(reply_to, Outcome.ACCEPTED)
            return
        reply = Reply(reply_to=reply_to, outcome=Outcome.ACCEPTED, job_id=job_id)
        self._context.journal.after(reply)

    def _refuse_over_limit(self, reply_to, job_id, account_name):
        """Refuse a job with a task or gang that exceeds its account's limits."""
        self._context.count("refusals", "over_limit")
        self._context.note("job_over_limit", job=job_id, account=account_name)
        self._lifecycle.reply(reply_to, Outcome.OVER_LIMIT)

    def _refuse_other_account(self, reply_to, job, account_name):
        """Refuse a request about another client account's job."""
        self._context.count("refusals", "other_account")
        self._context.note(
            "job_of_other_account", job=job.job_id, asked_by=account_name
        )
        self._lifecycle.reply(reply_to, Outcome.NOT_ALLOWED)

    def _accept(self, job_id, queue_name, spec, account_name, now_ms):
        first_start_ms = now_ms
        if spec.repeat_count:
            first_start_ms += spec.first_start_epoch_ms - time.time() * 1000.0
        job = Job.create(
            job_id=job_id,
            queue_name=queue_name,
            account_name=account_name,
            usage=self._context.usage_of(account_name),
            spec=spec,
            now_ms=now_ms,
            first_start_ms=first_start_ms,
        )
        job.is_beyond_share = not self._shares.admits(account_name, now_ms)
        set_objective(job, self._context.queue(job))
        self._context.jobs[job_id] = job
        self._context.live_jobs[job_id] = job
        self._policies.store_for(job)
        self._context.journal.add(job)
        self._context.needs_plan = True
        self._context.note(
            "job_accepted",
            job=job_id,
            queue=queue_name,
            account=account_name,
            beyond_share=job.is_beyond_share,
            steps=len(spec.steps),
            tasks=spec.task_count,
            cpu_milli=max(step.cpu_milli for step in spec.steps),
            accelerators=max(step.accelerators for step in spec.steps),
            gang=any(step.gang for step in spec.steps),
            configuration=self._context.configuration.version,
        )
        return job

    def withdraw(self, jobs, *, now_ms):
        """Remove jobs that were certainly not stored."""
        for job in jobs:
            for run in job.runs:
                self._lifecycle.release(run, now_ms=now_ms)
            del self._context.jobs[job.job_id]
            self._context.live_jobs.pop(job.job_id, None)
            self._context.note("job_withdrawn", job=job.job_id, reason="not stored")

    def return_new_jobs(self, batch, *, now_ms):
        """Refuse the new jobs of a batch that is certainly not stored."""
        journal = self._context.journal
        new_jobs = {job.job_id for job in batch.new_jobs}
        self.withdraw(batch.new_jobs, now_ms=now_ms)
        for reply in batch.take_replies(new_jobs) + journal.take_replies(new_jobs):
            self.refuse(reply)
        batch.new_jobs = []
        batch.changes = [row for row in batch.changes if row[0].job_id not in new_jobs]
        journal.forget(new_jobs)

    def abandon(self, job_id, *, now_ms):
        """Refuse a new job that is in no append yet, since its caller timed out."""
        journal = self._context.journal
        if not journal.is_unsent(job_id):
            return
        self.withdraw([self._context.jobs[job_id]], now_ms=now_ms)
        journal.forget({job_id})
        for reply in journal.take_replies({job_id}):
            self.refuse(reply)

    def refuse(self, reply):
        """Refuse a request in place of a reply whose record could not be stored."""
        self._context.count("refusals", "store_away")
        self._lifecycle.reply(
            reply.reply_to,
            Outcome.REFUSED,
            retry_after_ms=STORE_UNAVAILABLE_RETRY_DELAY_MS,
        )

    def is_stored(self, job_id):
        """Return whether a job with this id is stored."""
        job = self._context.jobs.get(job_id)
        return job is not None and job.visible_state is not None

    def has_job(self, job_id):
        """Return whether a job with this id is stored or waits to be."""
        return job_id in self._context.jobs

    def read(self, reply_to, job_id, *, account_name=""):
        """Reply with a job's stored state."""
        job = self._context.jobs.get(job_id)
        if job is None or job.visible_state is None:
            self._lifecycle.reply(reply_to, Outcome.UNKNOWN_JOB)
            return
        if _belongs_to_other_account(job, account_name):
            self._refuse_other_account(reply_to, job, account_name)
            return
        state = job.visible_state
        if state is JobState.QUEUED and job.has_started:
            state = JobState.RUNNING
        self._lifecycle.reply(reply_to, Outcome.STATE, state=str(state))

    def cancel(self, reply_to, job_id, *, now_ms, account_name=""):
        """Cancel a job; answered once that is stored."""
        job = self._context.jobs.get(job_id)
        if job is None or (job.visible_state and job.visible_state.is_final):
            self._lifecycle.reply(reply_to, Outcome.UNKNOWN_JOB)
            return
        if _belongs_to_other_account(job, account_name):
            self._refuse_other_account(reply_to, job, account_name)
            return
        if job.is_live:
            reason = "its caller cancelled it"
            self._lifecycle.finish(job, JobState.CANCELLED, reason, now_ms=now_ms)
        self._context.journal.mark_changed(job)
        reply = Reply(reply_to=reply_to, outcome=Outcome.CANCELLED, job_id=job_id)
        self._context.journal.after(reply)

    def count_pending(self, reply_to, queue_name):
        """Reply with the number of accepted jobs of a queue that have not started."""
        count = sum(
            1
            for job in self._context.live_jobs.values()
            if job.queue_name == queue_name
            and job.visible_state is not None
            and not job.has_run
        )
        self._lifecycle.reply(reply_to, Outcome.COUNTED, count=count)


def _belongs_to_other_account(job, account_name):
    """Return whether a job belongs to another account than the caller's."""
    return bool(job.account_name and account_name) and job.account_name != account_name
