"""All outgoing HTTP connections for one purpose, one call at a time on each."""

from collections import deque

from loguru import logger

from ..steady import steady_ms
from ..streams import StreamBrokenError
from .answer import HttpAnswer
from .client_connection import ClientConnection

__all__ = ["HttpPool"]

# A server closes idle connections after 15 s by default; stay below that.
IDLE_TIMEOUT_MS = 10_000.0
# A long answer that comes in parts is given up once none has come for this long: a
# call's usual time-out. Bounded as a whole instead, a page of records that takes longer
# over a thin link was given up, asked for anew, and so on without an end.
PART_TIMEOUT_MS = 1_000.0


class HttpPool:
    """Reuse idle connections; close any whose call has timed out.

    Open connections may go silent for good, all at once and without a reset, while new
    ones work. A pool that `closes_idle_on_timeout` ones closes, with a call that got no answer,
    the idle connections to the same address that were not heard since. A pool of two or
    three an address loses as many calls at most, and saves connects after single ones.
    """

    def __init__(
        self, *, sockets, timers, max_per_address, closes_idle_on_timeout=False
    ):
        self._sockets = sockets
        self._timers = timers
        self._max_per_address = max_per_address
        self._closes_idle_on_timeout = closes_idle_on_timeout
        self._idle = {}
        self._open_counts = {}
        self._waiting = {}
        self.received_bytes = 0
        self.connect_count = 0
        timers.every(IDLE_TIMEOUT_MS / 2, self._close_idle)

    def send(self, call):
        """Send a call on an idle connection or a new one, or let it wait."""
        call.began_ms = steady_ms()
        self._schedule_expiry(call)
        self._dispatch(call)

    def _schedule_expiry(self, call):
        call.timer_id = self._timers.at(call.deadline_ms, lambda: self._expire(call))

    def _dispatch(self, call):
        """Give a call a connection or let it wait; tell whether it went either way.

        One that is unwanted already goes neither: a connection that nothing was sent on
        is as good as before, and an outage would open and close one for each repeat.
        """
        if call.still_wanted is not None and not call.still_wanted():
            self._finish_unwanted(call)
            return False
        idle = self._idle.get(call.address)
        if idle and call.wants_new_connection:
            self._close(idle[0])
            self._connect(call)
        elif idle:
            idle.pop().start(call)
        elif self._open_counts.get(call.address, 0) < self._max_per_address:
            self._connect(call)
        else:
            self._waiting.setdefault(call.address, deque()).append(call)
        return True

    def _connect(self, call):
        connection = ClientConnection(
            sockets=self._sockets, address=call.address, pool=self
        )
        self.connect_count += 1
        self._open_counts[call.address] = self._open_counts.get(call.address, 0) + 1
        try:
            connection.connect()
        except StreamBrokenError as failure:
            self._open_counts[call.address] -= 1
            self._finish(call, HttpAnswer(status=0, sent=False, error=str(failure)))
            return
        connection.start(call)

    def on_complete(self, connection, answer, keep_alive):
        """Hand an answer on and reuse the connection."""
        call = connection.call
        connection.call = None
        connection.idle_since_ms = steady_ms()
        if keep_alive:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        self._dispatch_next(connection.address)
        self._finish(call, answer)

    def on_partial_answer(self, call):
        """Give the rest of a long answer more time, since a part of it has come."""
        if call.max_deadline_ms:
            call.deadline_ms = min(call.max_deadline_ms, steady_ms() + PART_TIMEOUT_MS)

    def on_unwanted(self, connection):
        """Drop a call that became unwanted while its connection came about."""
        call = connection.call
        connection.call = None
        self._close(connection)
        self._dispatch_next(connection.address)
        self._finish_unwanted(call)

    def on_broken(self, connection, reason, *, sent):
        """Fail the call of a connection that broke."""
        call = connection.call
        connection.call = None
        self._close(connection)
        self._dispatch_next(connection.address)
        if call is not None:
            self._finish(call, HttpAnswer(status=0, sent=sent, error=reason))

    def _expire(self, call):
        if steady_ms() < call.deadline_ms:  # it has moved on
            self._schedule_expiry(call)
            return
        waiting = self._waiting.get(call.address)
        if waiting and call in waiting:
            waiting.remove(call)
            self._finish(
                call, HttpAnswer(status=0, sent=False, error="waited too long")
            )
            return
        if call.connection is not None:
            if self._closes_idle_on_timeout:
                self._close_idle_before(call.address, call.began_ms)
            call.connection.on_broken("no answer in time")

    def _close_idle_before(self, address, since_ms):
        for connection in list(self._idle.get(address, ())):
            if connection.idle_since_ms < since_ms:
                self._close(connection)

    def _finish_unwanted(self, call):
        self._finish(call, HttpAnswer(status=0, sent=False, error="no longer wanted"))

    def _finish(self, call, answer):
        self._timers.cancel(call.timer_id)
        try:
            call.on_answer(answer)
        except Exception:
            line = logger.opt(exception=True).bind(event="answer_handler_failed")
            line.error("{} {} at {}", call.method, call.target, call.address)

    def _dispatch_next(self, address):
        """Place the first call that waits and is still wanted."""
        waiting = self._waiting.get(address)
        while waiting:
            if self._dispatch(waiting.popleft()):
                return

    def _close(self, connection):
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        self._open_counts[connection.address] -= 1
        connection.close()

    def _close_idle(self):
        now_ms = steady_ms()
        for connections in list(self._idle.values()):
            for connection in list(connections):
                if now_ms - connection.idle_since_ms > IDLE_TIMEOUT_MS:
                    self._close(connection)
