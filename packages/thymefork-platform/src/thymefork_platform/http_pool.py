"""All outgoing HTTP connections of a process, one call at a time on each."""

from collections import deque

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from .clock import mono_ms
from .http_calls import HttpResult
from .http_connection import HttpConnection

__all__ = ["HttpPool"]

IDLE_MS = 30_000


class HttpPool(BaseComponent):
    """Own the sockets; reuse idle ones, close any whose call has timed out."""

    def init(self, most_per_address=64, channel="http-pool"):
        """Prepare an empty pool on a channel of its own."""
        self.channel = channel
        self._most = most_per_address
        self._poller = None
        self._idle = {}
        self._open = {}
        self._waiting = {}
        self._by_sock = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def request(self, call):
        """Send a call on an idle connection or a new one, or let it wait."""
        idle = self._idle.get(call.address)
        if idle:
            self._start(idle.pop(), call)
        elif self._open.get(call.address, 0) < self._most:
            self._connect(call)
        else:
            self._waiting.setdefault(call.address, deque()).append(call)

    def abandon(self, call_id):
        """Close the connection of a call nobody waits for any more."""
        for connection in list(self._by_sock.values()):
            if connection.call is not None and connection.call.call_id == call_id:
                self._fail(connection, "abandoned")
                return

    def close_idle(self, address):
        """Close the connections to an address that carry no call."""
        for connection in list(self._idle.get(address, ())):
            self._close(connection)

    def _connect(self, call):
        connection = HttpConnection(address=call.address, mono_ms=mono_ms())
        self._open[call.address] = self._open.get(call.address, 0) + 1
        self._by_sock[connection.sock] = connection
        if connection.connect():
            self._poll.addReader(self, connection.sock)
            self._start(connection, call)
        else:
            connection.start(call, mono_ms())
            self._fail(connection, "can't connect")

    def _start(self, connection, call):
        connection.start(call, mono_ms())
        if connection.connected:
            self._write(connection)
        elif not self._poll.isWriting(connection.sock):
            self._poll.addWriter(self, connection.sock)

    @property
    def _poll(self):
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        return self._poller

    @handler("_write", priority=1)
    def _on_write(self, sock):
        connection = self._by_sock.get(sock)
        if connection is not None:
            self._write(connection)

    def _write(self, connection):
        error = connection.on_writable(mono_ms())
        if error is not None:
            self._fail(connection, error)
            return
        writing = self._poll.isWriting(connection.sock)
        if connection.wants_write and not writing:
            self._poll.addWriter(self, connection.sock)
        elif writing and not connection.wants_write:
            self._poll.removeWriter(connection.sock)

    @handler("_read", priority=1)
    def _on_read(self, sock):
        connection = self._by_sock.get(sock)
        if connection is None:
            return
        outcome = connection.on_readable()
        if isinstance(outcome, str):
            self._fail(connection, outcome)
        elif outcome is not None:
            self._finish(connection, outcome)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, sock, *args):
        connection = self._by_sock.get(sock)
        if connection is not None:
            self._fail(connection, "disconnected")

    def _finish(self, connection, result):
        call = connection.call
        connection.call = None
        connection.idle_since_mono_ms = mono_ms()
        self._tally(connection)
        if connection.can_be_reused:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        self._next(connection.address)
        took_ms = float(mono_ms() - connection.began_mono_ms)
        call.on_result(
            HttpResult(
                status=result.status, body=result.body, sent=True, took_ms=took_ms
            )
        )

    def _fail(self, connection, error):
        call = connection.call
        connection.call = None
        self._tally(connection)
        self._close(connection)
        self._next(connection.address)
        if call is not None:
            sent = connection.sent_bytes > 0
            call.on_result(HttpResult(status=0, body=b"", sent=sent, error=error))

    def _tally(self, connection):
        self.sent_bytes += connection.sent_bytes
        self.received_bytes += connection.received_bytes
        connection.received_bytes = 0

    def _close(self, connection):
        if self._by_sock.pop(connection.sock, None) is None:
            return
        self._poll.discard(connection.sock)
        connection.close()
        self._open[connection.address] -= 1
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def _next(self, address):
        waiting = self._waiting.get(address)
        if waiting:
            self.request(waiting.popleft())

    @handler("sweep", channel="*")
    def _on_sweep(self):
        now_ms = mono_ms()
        for connection in list(self._by_sock.values()):
            call = connection.call
            if call is not None and now_ms > call.deadline_mono_ms:
                self._fail(connection, "timed out")
            elif call is None and now_ms - connection.idle_since_mono_ms > IDLE_MS:
                self._close(connection)
        for waiting in self._waiting.values():
            while waiting and now_ms > waiting[0].deadline_mono_ms:
                call = waiting.popleft()
                result = HttpResult(status=0, body=b"", sent=False, error="waited out")
                call.on_result(result)
