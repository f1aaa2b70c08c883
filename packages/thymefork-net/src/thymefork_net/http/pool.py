"""A pool of outgoing HTTP connections that carry one call at a time each."""

from collections import Counter, deque

from loguru import logger

from ..steady import steady_ms
from ..streams import StreamBrokenError
from .answer import HttpAnswer
from .client_connection import ClientConnection

__all__ = ["HttpPool"]

# Below the 15 s after which servers close idle connections by default.
IDLE_TIMEOUT_MS = 10_000.0
# Timeout between two parts of a long answer. A timeout for the whole answer would fail
# each retry too on a link that is too slow for it.
PART_TIMEOUT_MS = 1_000.0


class HttpPool:
    """Reuse idle connections; close those whose call has timed out.

    Open connections may all stop responding without a reset while new ones work. With
    `closes_idle_on_timeout`, a call that times out also closes the idle connections to
    its address that have received nothing since the call was made. Pools with only a
    few connections for each address do without this.

    At most `max_per_address` calls to an address are open at a time, the others wait.
    Calls that are not `is_limited` neither wait nor count.
    """

    def __init__(
        self, *, sockets, timers, max_per_address, closes_idle_on_timeout=False
    ):
        self._sockets = sockets
        self._timers = timers
        self._max_per_address = max_per_address
        self._closes_idle_on_timeout = closes_idle_on_timeout
        self._idle = {}
        self._limited_counts = Counter()
        self._waiting = {}
        self.received_bytes = 0
        self.connect_count = 0
        timers.every(IDLE_TIMEOUT_MS / 2, self._close_idle)

    def send(self, call):
        """Send a call on an idle or a new connection, or queue it."""
        call.began_ms = steady_ms()
        self._schedule_expiry(call)
        self._dispatch(call)

    def _schedule_expiry(self, call):
        call.timer_id = self._timers.at(call.deadline_ms, lambda: self._expire(call))

    def _dispatch(self, call):
        """Send or queue a call; return false if it is no longer wanted.

        An unwanted call takes no connection: in an outage, one would otherwise be
        opened and closed for each retry.
        """
        if call.still_wanted is not None and not call.still_wanted():
            self._finish_unwanted(call)
            return False
        if call.is_limited and not self._has_room(call.address):
            self._waiting.setdefault(call.address, deque()).append(call)
            return True
        idle = self._idle.get(call.address)
        if idle and call.wants_new_connection:
            self._close(idle[0])
            self._connect(call)
        elif idle:
            self._start(idle.pop(), call)
        else:
            self._connect(call)
        return True

    def _has_room(self, address):
        return self._limited_counts[address] < self._max_per_address

    def _connect(self, call):
        connection = ClientConnection(
            sockets=self._sockets, address=call.address, pool=self
        )
        self.connect_count += 1
        try:
            connection.connect()
        except StreamBrokenError as failure:
            self._finish(call, HttpAnswer(status=0, sent=False, error=str(failure)))
            return
        self._start(connection, call)

    def _start(self, connection, call):
        self._limited_counts[call.address] += call.is_limited
        try:
            connection.start(call)
        except ValueError as failure:
            connection.on_broken(f"the request can't be encoded: {failure}")

    def _take_call(self, connection):
        """Detach the current call, if any, from its connection and return it."""
        call, connection.call = connection.call, None
        if call is not None and call.is_limited:
            self._limited_counts[call.address] -= 1
        return call

    def on_complete(self, connection, answer, keep_alive):
        """Deliver an answer and make the connection available again."""
        call = self._take_call(connection)
        connection.idle_since_ms = steady_ms()
        if keep_alive:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        self._dispatch_next(connection.address)
        self._finish(call, answer)

    def on_partial_answer(self, call):
        """Extend the deadline of a long answer after a part of it arrived."""
        if call.max_deadline_ms:
            call.deadline_ms = min(call.max_deadline_ms, steady_ms() + PART_TIMEOUT_MS)

    def on_unwanted(self, connection):
        """Drop a call that became unwanted while its connection was established."""
        call = self._take_call(connection)
        self._close(connection)
        self._dispatch_next(connection.address)
        self._finish_unwanted(call)

    def on_broken(self, connection, reason, *, sent):
        """Fail the current call of a broken connection."""
        call = self._take_call(connection)
        self._close(connection)
        self._dispatch_next(connection.address)
        if call is not None:
            self._finish(call, HttpAnswer(status=0, sent=sent, error=reason))

    def _expire(self, call):
        if steady_ms() < call.deadline_ms:  # the deadline was extended
            self._schedule_expiry(call)
            return
        waiting = self._waiting.get(call.address)
        if waiting and call in waiting:
            waiting.remove(call)
            self._finish(
                call, HttpAnswer(status=0, sent=False, error="timed out while queued")
            )
            return
        if call.connection is not None:
            if self._closes_idle_on_timeout:
                self._close_idle_before(call.address, call.began_ms)
            call.connection.on_broken("timed out waiting for the answer")

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
            line.error(
                "answer handler failed: {} {} at {}",
                call.method,
                call.target,
                call.address,
            )

    def _dispatch_next(self, address):
        """Send the first queued call that is still wanted."""
        waiting = self._waiting.get(address)
        while waiting and self._has_room(address):
            if self._dispatch(waiting.popleft()):
                return

    def _close(self, connection):
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        connection.close()

    def _close_idle(self):
        now_ms = steady_ms()
        for connections in list(self._idle.values()):
            for connection in list(connections):
                if now_ms - connection.idle_since_ms > IDLE_TIMEOUT_MS:
                    self._close(connection)
