"""Handling of callers' requests by the owner of their cell."""

from loguru import logger

from thymefork_cells import effects as fx
from thymefork_cells.jobs.intake import STORE_UNAVAILABLE_RETRY_DELAY_MS
from thymefork_net import steady_ms

__all__ = ["RequestHandler"]

# A refusal has to reach the caller before its timeout: a round trip between distant
# halls and one cycle.
REPLY_MARGIN_MS = 100.0


class RequestHandler:
    """Pass requests to the cell, and refuse those that need an unavailable store.

    `apply_effects()` executes the resulting effects.
    """

    def __init__(self, *, cell, ownership, pipeline, metrics, timers, apply_effects):
        self._intake = cell.intake
        self._journal = cell.journal
        self._ownership = ownership
        self._pipeline = pipeline
        self._metrics = metrics
        self._timers = timers
        self._apply_effects = apply_effects

    def handle(
        self, kind, queue, job_id, data, respond, *, account_name="", timeout_ms=0
    ):
        """Handle a request; `respond` takes the reply once it may be sent.

        `timeout_ms` is the caller's timeout, or 0 if it is not known.
        """
        intake, now_ms = self._intake, steady_ms()
        if self._is_store_unavailable() and not self._needs_no_append(kind, job_id):
            self._refuse(respond)
        elif kind == "read":
            intake.read(respond, job_id, account_name=account_name)
        elif kind == "count":
            intake.count_pending(respond, queue)
        elif kind == "submit":
            intake.submit(
                respond, job_id, queue, data, account_name=account_name, now_ms=now_ms
            )
            self._schedule_expiry(job_id, timeout_ms)
        else:
            intake.cancel(respond, job_id, account_name=account_name, now_ms=now_ms)

    def _schedule_expiry(self, job_id, timeout_ms):
        """Abandon a job that no append contains by the end of the caller's timeout."""
        if timeout_ms > REPLY_MARGIN_MS and self._journal.is_unsent(job_id):
            delay_ms = timeout_ms - REPLY_MARGIN_MS
            self._timers.after(delay_ms, lambda: self._expire_if_unsent(job_id))

    def _expire_if_unsent(self, job_id):
        if self._journal.is_unsent(job_id):
            self._intake.abandon(job_id, now_ms=steady_ms())
            self._apply_effects()

    def reject_unsent(self):
        """Refuse the new jobs that no append contains, since the ownership has ended.

        Their callers may send them to the next owner.
        """
        for reply in self._journal.take_replies_of_unsent():
            self._metrics.count("refusals", "given_back")
            line = logger.bind(event="job_withdrawn", job=reply.job_id)
            line.bind(reason="the cell was lost before").info(
                "job not stored: ownership lost"
            )
            respond = reply.reply_to
            respond(fx.Reply(reply_to=None, outcome=fx.Outcome.NOT_OWNER))

    def _is_store_unavailable(self):
        return self._pipeline.is_store_unavailable or not self._ownership.is_certain()

    def _needs_no_append(self, kind, job_id):
        """Return whether a request concerns only what is stored or in flight."""
        if kind == "read":
            return self._intake.is_stored(job_id)
        if kind == "submit":
            return self._intake.has_job(job_id)
        return kind == "count"

    def _refuse(self, respond):
        self._metrics.count("refusals", "store_away")
        respond(
            fx.Reply(
                reply_to=None,
                outcome=fx.Outcome.REFUSED,
                retry_after_ms=STORE_UNAVAILABLE_RETRY_DELAY_MS,
            )
        )
