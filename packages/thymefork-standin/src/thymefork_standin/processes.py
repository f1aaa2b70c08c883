"""Processes that a test or a demo has started, ended by their ids."""

import os
import signal
import socket
import subprocess
import sys
from contextlib import closing

__all__ = ["Process", "free_ports"]

END_PATIENCE_S = 5


def free_ports(count):
    """Return ports that nothing listens on now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        with closing(sock):
            pass
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
