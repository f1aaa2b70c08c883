"""Callers' requests at the owner of their cell."""

from loguru import logger

from thymefork_cells import effects as fx
from thymefork_cells.jobs.intake import STORE_AWAY_RETRY_MS
from thymefork_net import steady_ms

__all__ = ["RequestHandler"]

# The word that a job was not taken has to reach who asked before that gives up: a round
# trip between distant halls, and a turn.
REPLY_MARGIN_MS = 100.0


class RequestHandler:
    """Have requests decided; refuse at once what the store could not take.

    `apply_effects()` has effects carried out.
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
        self, kind, queue, job_id, data, respond, *, account_name="", patience_ms=0
    ):
        """Decide a request; `respond` takes the reply once it may be told.

        Who asked waits for `patience_ms`, 0 where that is not known.
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
            self._schedule_expiry(job_id, patience_ms)
        else:
            intake.cancel(respond, job_id, account_name=account_name, now_ms=now_ms)

    def _schedule_expiry(self, job_id, patience_ms):
        """Have a job given up that no append has held by the end of a wait."""
        if patience_ms > REPLY_MARGIN_MS and self._journal.is_unsent(job_id):
            delay_ms = patience_ms - REPLY_MARGIN_MS
            self._timers.after(delay_ms, lambda: self._expire_if_unsent(job_id))

    def _expire_if_unsent(self, job_id):
        if self._journal.is_unsent(job_id):
            self._intake.abandon(job_id, now_ms=steady_ms())
            self._apply_effects()

    def reject_unsent(self):
        """Tell who asked about new jobs that they were not taken, as the cell is lost.

        No append has held these jobs, and none of this ownership will.
        """
        for reply in self._journal.take_replies_of_unsent():
            self._metrics.count("refusals", "given_back")
            line = logger.bind(event="job_withdrawn", job=reply.job_id)
            line.bind(reason="the cell was lost before").info("nothing was stored")
            respond = reply.request_id
            respond(fx.Reply(request_id=None, outcome=fx.Outcome.NOT_OWNER))

    def _is_store_unavailable(self):
        return self._pipeline.is_store_unavailable or not self._ownership.is_certain()

    def _needs_no_append(self, kind, job_id):
        """Tell whether a request is about what is stored, or on its way, already."""
        if kind == "read":
            return self._intake.is_stored(job_id)
        if kind == "submit":
            return self._intake.has_job(job_id)
        return kind == "count"

    def _refuse(self, respond):
        self._metrics.count("refusals", "store_away")
        respond(
            fx.Reply(
                request_id=None,
                outcome=fx.Outcome.REFUSED,
                retry_after_ms=STORE_AWAY_RETRY_MS,
            )
        )
