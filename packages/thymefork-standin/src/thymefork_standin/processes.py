"""Processes that a test or a demo has started, ended by their ids."""

import os
import signal
import socket
import subprocess
import sys
from functools import cache
from itertools import cycle, islice

__all__ = ["Process", "free_ports"]

END_PATIENCE_S = 5
HOST = "127.0.0.1"
# Below the ports of outgoing connections: one of those could take a port before it is
# listened on.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 500
BLOCKS = 40


class _PortBlock:
    """Reserve a block of ports for this process until it ends.

    Its first port stays bound, so that other processes of the same machine, of another
    test run too, take other blocks.
    """

    def __init__(self):
        self._guard, self._first = self._reserve()
        self._offsets = cycle(range(1, PORTS_PER_BLOCK))

    def _reserve(self):
        """Return the bound guard socket and the number of its port."""
        for block in range(BLOCKS):
            port = FIRST_PORT + block * PORTS_PER_BLOCK
            guard = socket.socket()
            try:
                guard.bind((HOST, port))
            except OSError:
                guard.close()
                continue
            return guard, port
        raise RuntimeError(f"reserving ports: all {BLOCKS} blocks are taken on {HOST}")

    def next_free(self):
        """Return the next port of the block that can be bound."""
        for offset in islice(self._offsets, PORTS_PER_BLOCK):
            if _is_free(self._first + offset):
                return self._first + offset
        raise RuntimeError(f"no free port in the block from {self._first} on {HOST}")


def _is_free(port):
    """Return whether a server could bind a port now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


@cache
def _port_block():
    """Return the block of this process, reserved when it is first needed."""
    return _PortBlock()


def free_ports(wanted):
    """Return ports that nothing listens on and that no other process is given."""
    return [_port_block().next_free() for _ in range(wanted)]


class Process:
    """Hold one child process with its log file."""

    def __init__(self, *, arguments, log_path):
        self._log = open(log_path, "ab")  # noqa: SIM115 - closed in `end`
        self._child = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._log,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    @property
    def pid(self):
        """Return the process id."""
        return self._child.pid

    @property
    def exit_code(self):
        """Return the exit code, or None while it runs."""
        return self._child.poll()

    def send(self, number):
        """Send a signal."""
        if self._child.poll() is None:
            os.kill(self._child.pid, number)

    def kill(self):
        """Kill at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._child.wait(END_PATIENCE_S)

    def pause(self):
        """Freeze the process."""
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def end(self):
        """Make sure that the process is gone."""
        if self._child.poll() is None:
            self.kill()
        self._log.close()
