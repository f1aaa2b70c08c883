"""HTTP front end for callers."""

from attrs import evolve
from loguru import logger

from thymefork_cells import encode_spec
from thymefork_cells.effects import Outcome
from thymefork_core.exceptions import ThymeforkError
from thymefork_machines import CallerRequests
from thymefork_net import steady_ms
from thymefork_net.http import HttpServer, ServerLimits

__all__ = ["Frontend"]

# Used when the caller names no deadline.
DEFAULT_TIMEOUT_MS = 3_000.0
# The answer has to reach the caller before its deadline.
ANSWER_MARGIN_MS = 120.0
NO_CONFIGURATION_RETRY_MS = 1_000
# Queue name, key and timestamps that a job's record holds beside its spec.
RECORD_MARGIN_BYTES = 1_024


class Frontend:
    """Validate requests, answer those that need no owner, and forward the rest."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self.server = HttpServer(
            sockets=daemon.sockets,
            timers=daemon.timers,
            address=daemon.settings.front,
            on_request=self._on_request,
            on_refused=self._on_refused,
        )

    def on_configuration(self, configuration):
        """Apply the limits of a new configuration."""
        self.server.limits = ServerLimits(
            header_bytes=configuration.header_bytes,
            body_bytes=configuration.body_bytes,
            header_timeout_ms=configuration.header_timeout_ms,
            idle_timeout_ms=configuration.idle_timeout_ms,
        )

    def _on_refused(self, status):
        self._daemon.metrics.count("refusals", f"bad_request_{status}")

    def _on_request(self, request):
        configuration = self._daemon.configuration
        if configuration is None:
            self._daemon.metrics.count("refusals", "no_configuration")
            CallerRequests.refuse(request, 503, NO_CONFIGURATION_RETRY_MS)
            return
        host = CallerRequests.host_of(request)
        queue = configuration.queue_for(host, request.path)
        if queue is None:
            self._daemon.metrics.count("refusals", "no_queue")
            request.answer(404)
            return
        account = configuration.account_of_key(CallerRequests.api_key_of(request))
        if account is None and configuration.requires_key(queue):
            self._refuse_key(request)
            return
        try:
            operation = CallerRequests.read(request, queue.path_prefix)
        except ThymeforkError as failure:
            self._refuse_invalid(request, failure)
            return
        account_name = account.name if account is not None else ""
        self._forward(request, queue, operation, account_name)

    def _refuse_key(self, request):
        reason = "unknown_key" if CallerRequests.api_key_of(request) else "no_key"
        self._daemon.metrics.count("refusals", reason)
        CallerRequests.refuse(request, 401, reason=reason)

    def _refuse_invalid(self, request, failure):
        self._daemon.metrics.count("refusals", f"bad_request_{failure.status}")
        line = logger.bind(event="bad_request", path=request.path)
        line.info("rejected an invalid request: {}", failure)
        CallerRequests.refuse(request, failure.status, reason=str(failure))

    def _forward(self, request, queue, operation, account_name):
        data = encode_spec(operation.spec) if operation.spec is not None else b""
        if (
            len(data) + RECORD_MARGIN_BYTES
            > self._daemon.settings.store.max_record_bytes
        ):
            self._on_refused(413)
            request.answer(413)
            return
        deadline_ms = request.arrived_ms + self._timeout_ms(request)
        self._daemon.metrics.count("requests", operation.kind)

        def respond(reply):
            took_ms = steady_ms() - request.arrived_ms
            self._daemon.metrics.observe("request", took_ms, kind=operation.kind)
            if reply.outcome in (Outcome.REFUSED, Outcome.IN_DOUBT):
                _log_refusal(operation, queue, reply, took_ms)
            if (
                reply.outcome == Outcome.REFUSED
                and self._daemon.readiness.is_disconnected
            ):
                # Another instance can serve it: no retry delay, new connection.
                request.keep_alive = False
                reply = evolve(reply, retry_after_ms=0)
            CallerRequests.answer(request, reply)

        self._daemon.gateway.request(
            operation.kind,
            queue.name,
            operation.job_id,
            data,
            deadline_ms,
            respond,
            account_name=account_name,
        )

    def _timeout_ms(self, request):
        text = request.headers.get("deadline-ms", "")
        requested_ms = float(text) if text.isdigit() else DEFAULT_TIMEOUT_MS
        return max(ANSWER_MARGIN_MS, requested_ms - ANSWER_MARGIN_MS)


def _log_refusal(operation, queue, reply, took_ms):
    """Log a request that was refused or whose outcome is unknown, with its job."""
    logger.bind(
        event="request_refused",
        job=operation.job_id,
        kind=operation.kind,
        queue=queue.name,
        outcome=str(reply.outcome),
        retry_after_ms=reply.retry_after_ms,
        after_ms=round(took_ms),
    ).info("request refused or not confirmed; the caller is asked to retry")
