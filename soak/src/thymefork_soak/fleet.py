"""The processes of a soak test: the simulated platform and the daemons."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path

from .machine_sizes import DEFAULT_SIZE, instance_sizes, worker_speeds
from .proxy import Proxy

__all__ = ["Daemon", "Fleet"]

ROOT = Path(__file__).resolve().parents[3]
FIRST_PORT = 21_000
ADVICE, CONTROL = FIRST_PORT + 1, FIRST_PORT + 2
FRONT, READY, CONTROL_PORT, PEERS = 21_500, 21_501, 21_502, 21_510
PROXY = 21_600
QUEUE = {
    "name": "r-1",
    "host": "lookup.example",
    "path_prefix": "/jobs/",
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 250,
    "priority": 0,
    "service": "svc",
    "max_attempts": 50,
    "stretch": 1.5,
    "advice": {"decision_ms": 20.0, "per_item_ms": 0.1, "valid_ms": 2500},
}


def configuration(version, accounts=None):
    """Return an operators' configuration of the given version."""
    service = {"name": "svc", "max_conns": 64, "headroom": False}
    document = {
        "version": version,
        "routes": [QUEUE],
        "services": [service],
        "limits": {},
    }
    if accounts is not None:
        document["tenants"] = accounts.rows()
    return document


class Daemon:
    """Manage one daemon's process, settings file, log and proxy."""

    def __init__(self, *, number, folder, platform_host, size=DEFAULT_SIZE):
        self.host = f"{platform_host.rpartition('.')[0]}.{number + 2}"
        self._platform_host = platform_host
        self._size = size
        self.name = f"entry-{number}"
        self.process = None
        self.stopped = False
        self.proxy = Proxy(
            host=self.host, port=PROXY, target=(platform_host, FIRST_PORT)
        )
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self.write_settings()

    def write_settings(self):
        """Write the settings file in the platform's format."""
        fields = {
            "node_name": self.name,
            "ip": self.host,
            "zone": "hall-1",
            "listen.front": f"{self.host}:{FRONT}",
            "listen.ready": f"{self.host}:{READY}",
            "listen.control": f"{self.host}:{CONTROL_PORT}",
            "port_range": f"{PEERS},{PEERS + 15}",
            "platform.address": f"{self.host}:{PROXY}",
            "advice": f"{self._platform_host}:{ADVICE}",
            **self._size.settings(),
        }
        lines = [f"{name}={value}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "thymeforkd.py")],
                env={**os.environ, "THYMEFORK_CONFIG": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self, number, down_s):
        """End the process by a signal and start it again."""
        self.stopped = True
        self.signal(number)
        await asyncio.to_thread(self._wait_for_end)
        await asyncio.sleep(down_s)
        self.start()
        self.stopped = False

    def _wait_for_end(self):
        try:
            self.process.wait(timeout=8)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def loopback_host(seed, process_id):
    """Return the simulated platform's address, separate for each concurrent soak."""
    return f"127.{10 + seed % 200}.{process_id % 256}.1"


class Fleet:
    """Start, control and stop the simulated platform and the daemons."""

    def __init__(
        self, *, instances, workers, seed, folder, accounts=None, is_heterogeneous=False
    ):
        self.accounts = accounts
        self._version = 0
        self._host = loopback_host(seed, os.getpid())
        sizes = (
            instance_sizes(instances, seed)
            if is_heterogeneous
            else [DEFAULT_SIZE] * instances
        )
        self.daemons = [
            Daemon(number=number, folder=folder, platform_host=self._host, size=size)
            for number, size in enumerate(sizes)
        ]
        self._speeds = (
            worker_speeds(workers, seed) if is_heterogeneous else [1.0] * workers
        )
        self._seed = seed
        self._platform = None

    async def start(self):
        """Start the simulated platform, then the daemons."""
        arguments = (self._host, FIRST_PORT, self._seed, *self._speeds)
        self._platform = subprocess.Popen(
            [sys.executable, "-m", "thymefork_soak.standin.process"]
            + [str(argument) for argument in arguments]
        )
        await self._wait_until_ready()
        await self.configure()
        for daemon in self.daemons:
            await daemon.proxy.start()
            daemon.start()

    async def configure(self, steps=1):
        """Publish a later version of the configuration."""
        self._version += steps
        await self.control("configure", configuration(self._version, self.accounts))

    async def _wait_until_ready(self):
        for _ in range(100):
            try:
                await self.control("verdict", {})
                return
            except OSError:
                await asyncio.sleep(0.1)  # the platform is still starting
        raise TimeoutError("the simulated platform did not answer")

    async def control(self, action, document):
        """Send a control request to the simulated platform; return its answer."""
        return await asyncio.to_thread(self._control_request, action, document)

    def _control_request(self, action, document):
        request = urllib.request.Request(
            f"http://{self._host}:{CONTROL}/{action}",
            data=json.dumps(document).encode(),
            method="POST",
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.loads(answer.read())

    def stop(self):
        """Stop all processes."""
        for daemon in self.daemons:
            daemon.proxy.stop()
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        self._platform.kill()
        self._platform.wait()
