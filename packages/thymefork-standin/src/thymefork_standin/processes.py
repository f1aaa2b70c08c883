"""Processes that a test or a demo has started, ended by their ids."""

import os
import signal
import socket
import subprocess
import sys
from itertools import count

__all__ = ["Process", "free_ports"]

END_PATIENCE_S = 5
FIRST_PORT = 12_000
PORTS_A_RANGE = 2_000
RANGES = 10
_NEXT = count()


def free_ports(wanted):
    """Return ports that nothing listens on, below those of outgoing connections.

    Each process of a test run takes from a range of its own; a port that the system
    picks could be taken by any outgoing connection before it is listened on.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw")
    first = FIRST_PORT + int(worker) % RANGES * PORTS_A_RANGE
    ports = []
    while len(ports) < wanted:
        port = first + next(_NEXT) % PORTS_A_RANGE
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


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
