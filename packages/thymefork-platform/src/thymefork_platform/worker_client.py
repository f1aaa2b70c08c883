"""Calls to workers: starts, stops, polls, and lookups at their endpoints."""

from functools import singledispatchmethod

import orjson
from circuits import BaseComponent, handler

from thymefork_core.exceptions import ThymeforkError
from thymefork_core.node import effects as fx, messages as m
from thymefork_core.node.lookups import PEER_MARK
from thymefork_wire.strict import parse_document

from .clock import mono_ms, now
from .events import BRAIN, deliver
from .http_calls import Address, HttpCall
from .http_pool import HttpPool
from .worker_forms import PollAnswer, StartAnswer

__all__ = ["WorkerClient"]

START_PATIENCE_MS = 1500
STOP_PATIENCE_MS = 1500
POLL_PATIENCE_MS = 1500
NOWHERE = Address(host="127.0.0.1", port=1)
STREAM_PATIENCE_MS = 24 * 3600 * 1000
OK = 200


class WorkerClient(BaseComponent):
    """Carry the owner's wishes to workers and bring their answers back."""

    channel = "workers"

    def init(self, front):
        """Prepare a client; `front` takes the parts of streams."""
        self._front = front
        self._addresses = {}
        self._calls = {}
        self.control = HttpPool(channel="worker-control").register(self)
        self.endpoints = HttpPool(channel="worker-endpoints").register(self)

    def on_list(self, found):
        """Take addresses from the instance list; a peer's is its front door."""
        for entry in found.instances:
            address = Address(host=entry.host, port=entry.http_port)
            self._addresses[f"{PEER_MARK}{entry.name}"] = address
        for entry in found.workers:
            self._addresses[entry.name] = Address(host=entry.host, port=entry.port)

    @handler("perform")
    def _on_perform(self, effect):
        self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect):
        raise TypeError(f"no call for {type(effect).__name__}")

    @_perform.register
    def _starts(self, effect: fx.SendStarts):
        body = {
            "epoch": effect.epoch,
            "lease_until_ms": effect.lease_until_ms,
            "starts": [
                {
                    "attempt_id": order.attempt_id,
                    "cpu_milli": order.cpu_milli,
                    "memory_mb": order.memory_mb,
                    "accelerators": order.accelerators,
                    "run_ms": order.run_ms,
                    "payload": order.payload,
                }
                for order in effect.orders
            ],
        }
        ids = tuple(order.attempt_id for order in effect.orders)

        def on_result(result):
            answer = _parsed(result, StartAnswer)
            if answer is None:
                message = m.StartsFailed(
                    worker=effect.worker, attempt_ids=ids, sent=result.sent
                )
            else:
                message = m.StartsAnswered(
                    worker=effect.worker,
                    attempt_ids=ids,
                    started_at_ms=answer.started_at_ms,
                )
            self._tell(message)

        self._control(
            effect.worker,
            "/control/start",
            body,
            START_PATIENCE_MS,
            on_result,
            send_before_mono_ms=effect.send_before_mono_ms,
        )

    @_perform.register
    def _stops(self, effect: fx.SendStops):
        body = {
            "epoch": effect.epoch,
            "attempt_ids": list(effect.attempt_ids),
            "checkpoint": effect.checkpoint,
        }
        self._control(
            effect.worker,
            "/control/stop",
            body,
            STOP_PATIENCE_MS,
            lambda result: None,
        )

    @_perform.register
    def _throttle(self, effect: fx.SendThrottle):
        body = {
            "epoch": effect.epoch,
            "attempt_id": effect.attempt_id,
            "cpu_milli": effect.cpu_milli,
        }

        def on_result(result):
            self._tell(
                m.Throttled(
                    worker=effect.worker,
                    attempt_id=effect.attempt_id,
                    cpu_milli=effect.cpu_milli,
                    done=result.status == OK,
                )
            )

        patience_ms = STOP_PATIENCE_MS
        self._control(effect.worker, "/control/throttle", body, patience_ms, on_result)

    @_perform.register
    def _poll(self, effect: fx.PollWorker):
        body = {
            "epoch": effect.epoch,
            "lease_until_ms": effect.lease_until_ms,
            "forget": list(effect.forget),
            "wait_ms": effect.wait_ms,
        }

        def on_result(result):
            answer = _parsed(result, PollAnswer)
            if answer is None:
                self._tell(m.PollFailed(worker=effect.worker))
                return
            self._tell(
                m.WorkerReport(
                    worker=effect.worker,
                    measured_at_ms=answer.measured_at_ms,
                    running=answer.running,
                    finished=answer.finished,
                    connections=answer.connections,
                    leaving=answer.leaving,
                    peak_memory_mb=answer.peak_memory_mb,
                )
            )

        patience_ms = effect.wait_ms + POLL_PATIENCE_MS
        self._control(effect.worker, "/control/poll", body, patience_ms, on_result)

    def _control(
        self, worker, target, body, patience_ms, on_result, *, send_before_mono_ms=0
    ):
        address = self._addresses.get(worker, NOWHERE)
        self.control.request(
            HttpCall(
                address=address,
                method="POST",
                target=target,
                body=orjson.dumps(body),
                deadline_mono_ms=mono_ms() + patience_ms,
                send_before_mono_ms=send_before_mono_ms,
                on_result=on_result,
            )
        )

    # Lookups and streams -----------------------------------------------------

    @_perform.register
    def _proxy(self, effect: fx.Proxy):
        request_id = effect.request_id
        left_ms = effect.deadline_ms - now().wall_ms
        patience_ms = STREAM_PATIENCE_MS if effect.stream else max(1, left_ms)
        kind = "stream" if effect.stream else "lookup"

        def on_result(result):
            self._calls.pop(request_id, None)
            if effect.stream:
                self._front.on_stream_end(request_id, complete=result.status != 0)
            self._tell(
                m.LookupEnded(
                    request_id=request_id,
                    worker=effect.worker,
                    status=result.status,
                    body=result.body,
                    took_ms=result.took_ms,
                    sent=result.sent,
                )
            )

        on_head = on_part = None
        if effect.stream:
            on_head = lambda status: self._front.on_stream_head(request_id, status)
            on_part = lambda data: self._front.on_stream_part(request_id, data)
        if effect.worker.startswith(PEER_MARK):
            kind = "hop-stream"
        call = HttpCall(
            address=self._addresses.get(effect.worker, NOWHERE),
            method="POST",
            target=f"/{kind}/{effect.service}/{effect.target}",
            body=effect.body,
            deadline_mono_ms=mono_ms() + patience_ms,
            on_result=on_result,
            on_head=on_head,
            on_part=on_part,
        )
        self._calls[request_id] = call.call_id
        self.endpoints.request(call)

    @_perform.register
    def _close_idle(self, effect: fx.CloseIdle):
        address = self._addresses.get(effect.worker)
        if address is not None:
            self.endpoints.close_idle(address)

    def abandon(self, request_id):
        """Close the endpoint's connection of a stream whose caller has gone."""
        call_id = self._calls.get(request_id)
        if call_id is not None:
            self.endpoints.abandon(call_id)

    def _tell(self, message):
        self.fire(deliver(message), BRAIN)


def _parsed(result, kind):
    if result.status != OK:
        return None
    try:
        return parse_document(result.body, kind)
    except ThymeforkError:
        return None
