"""A whole small cluster on loopback: stand-ins and daemons as processes."""

import socket
import tempfile
import time
from pathlib import Path

import orjson

from .http import call, wait_until
from .processes import Process, free_ports

__all__ = ["Cluster"]

HOST = "127.0.0.1"


def _now_ms():
    return time.time_ns() // 1_000_000


class Cluster:
    """Start, break and observe a cluster; end everything that was started."""

    def __init__(
        self,
        *,
        file,
        instances_per_hall=2,
        extra_instances=0,
        folder=None,
        cut_hall="",
        **settings,
    ):
        self.file = file
        self.halls = file["halls"]
        self.settings = settings
        self.cut_hall = cut_hall
        self.folder = Path(folder or tempfile.mkdtemp(prefix="thymefork-"))
        self.names = [
            f"{hall}-{index}"
            for hall in self.halls
            for index in range(1, instances_per_hall + 1)
        ]
        self.names += [
            f"{self.halls[0]}-{instances_per_hall + 1 + index}"
            for index in range(extra_instances)
        ]
        self.hall_of = {name: name.rsplit("-", 1)[0] for name in self.names}
        self.daemons = {}
        self.workers = {}
        self.ports = {}
        self._processes = []
        self._ids = 0

    def __enter__(self):
        """Start everything and wait until it is ready."""
        try:
            self.start()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *exc):
        """End everything."""
        self.end()

    # Starting ----------------------------------------------------------------

    def start(self):
        """Start stand-ins and daemons, fill the list and apply the file."""
        self.start_platform()
        for name in self.names:
            self.start_daemon(name)
        for name in self.names:
            self.wait_health(name)
        wait_until(
            lambda: self.apply(self.file, base=0).status == 200,
            what="the first file in force",
        )
        self.wait_ready()

    def start_platform(self):
        """Start the log, the list and the workers."""
        workers = [w["name"] for w in self.file["workers"]]
        ports = free_ports(2 + len(workers) + 3 * len(self.names))
        self.ports = {"log": ports.pop(), "list": ports.pop()}
        self._standin("log", self.ports["log"])
        self._standin("instances", self.ports["list"])
        for name in workers:
            self.ports[name] = ports.pop()
            self.workers[name] = self._standin(
                "worker", self.ports[name], "--name", name
            )
        for name in self.names:
            self.ports[name] = ports.pop()
            self.ports[f"{name}/peers"] = ports.pop()
        for port in (self.ports[k] for k in ("log", "list", *workers)):
            wait_until(lambda p=port: _listens(p), what=f"port {port}")
        routes = self._start_relay() if self.cut_hall else {}
        self._fill_list(routes)

    def _start_relay(self):
        """Lead all links between one hall and the rest through a relay."""
        inside = [n for n in self.names if self.hall_of[n] == self.cut_hall]
        outside = [n for n in self.names if n not in inside]
        pairs = [(a, b) for a in inside for b in outside]
        pairs += [(b, a) for a, b in pairs]
        links = {f"{a}>{b}": self.ports[f"{b}/peers"] for a, b in pairs}
        for name in inside:
            links[f"{name}>log"] = self.ports["log"]
            links[f"{name}>list"] = self.ports["list"]
        ports = free_ports(len(links) + 1)
        self.ports["relay"] = ports.pop()
        self._standin("relay", self.ports["relay"])
        wait_until(lambda: _listens(self.ports["relay"]), what="the relay")
        self.ports.update(zip(links, ports, strict=True))
        self.tell_relay(
            links={
                name: {"port": self.ports[name], "host": HOST, "to_port": to_port}
                for name, to_port in links.items()
            }
        )
        self._relayed = list(links)
        routes = {}
        for a, b in pairs:
            routes.setdefault(a, {})[b] = {"peer_port": self.ports[f"{a}>{b}"]}
        return routes

    def tell_relay(self, **order):
        """Send the relay links to add, and names to cut or to heal."""
        with socket.create_connection((HOST, self.ports["relay"])) as sock:
            sock.sendall(orjson.dumps(order) + b"\n")
            sock.recv(16)

    def cut_off(self):
        """Cut the hall off from the others and from the platform."""
        self.tell_relay(cut=self._relayed)

    def join_again(self):
        """Let the hall reach everything again."""
        self.tell_relay(heal=self._relayed)

    def _standin(self, kind, port, *more):
        process = Process(
            arguments=["thymefork_standin.main", kind, str(port), *more],
            log_path=self.folder / f"standin-{kind}-{port}.log",
        )
        self._processes.append(process)
        return process

    def _fill_list(self, routes):
        instances = {name: self.list_entry(name) for name in self.names}
        workers = {
            w["name"]: {
                "name": w["name"],
                "hall": w["hall"],
                "host": HOST,
                "port": self.ports[w["name"]],
                "state": "live",
            }
            for w in self.file["workers"]
        }
        self.set_list(instances=instances, workers=workers, routes=routes)

    def list_entry(self, name, state="live"):
        """Return an instance's entry of the platform's list."""
        return {
            "name": name,
            "hall": self.hall_of[name],
            "host": HOST,
            "peer_port": self.ports[f"{name}/peers"],
            "http_port": self.ports[name],
            "state": state,
        }

    def start_daemon(self, name):
        """Start an entry instance from its settings file."""
        settings = {
            "name": name,
            "hall": self.hall_of[name],
            "http": {"host": HOST, "port": self.ports[name]},
            "peers": {"host": HOST, "port": self.ports[f"{name}/peers"]},
            "log_service": {"host": HOST, "port": self._platform_port(name, "log")},
            "instance_list": {"host": HOST, "port": self._platform_port(name, "list")},
            "peer_seed": [] if self.cut_hall else self._seed(),
            **self.settings,
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(settings))
        process = Process(
            arguments=["thymefork_entry.main", "--settings", str(path)],
            log_path=self.folder / f"{name}.log",
        )
        self._processes.append(process)
        self.daemons[name] = process
        return process

    def _seed(self):
        return [self.list_entry(name) for name in self.names]

    def _platform_port(self, name, kind):
        return self.ports.get(f"{name}>{kind}", self.ports[kind])

    def end(self):
        """End every process that was started here."""
        for process in self._processes:
            process.end()

    # Observing ---------------------------------------------------------------

    def get(self, name, path, **options):
        """Read from an instance or a stand-in."""
        return call(self.ports[name], "GET", path, **options)

    def post(self, name, path, document, **options):
        """Send to an instance or a stand-in."""
        return call(self.ports[name], "POST", path, document, **options)

    def report(self, name):
        """Return an instance's status, or an empty one."""
        reply = self.get(name, "/report", timeout_s=2.0)
        return reply.document if reply.status == 200 else {}

    def work_report(self, name, work_id):
        """Return an instance's report of a work."""
        return self.get(name, f"/report/{work_id}").document

    def journal(self, worker):
        """Return a worker's journal."""
        return self.get(worker, "/journal").document

    def starts_of(self, work_id):
        """Return every start that any worker wrote down for a work."""
        return [
            (worker, event)
            for worker in self.workers
            for event in self.journal(worker)["events"]
            if event[1] == "start" and event[2].startswith(f"{work_id}/")
        ]

    def wait_health(self, name):
        """Wait until an instance answers."""
        wait_until(
            lambda: self.get(name, "/health", timeout_s=1.0).status == 200,
            what=f"health of {name}",
        )

    def wait_ready(self, names=None):
        """Wait until instances are ready and all workers are verified."""
        names = names or self.names
        wanted = len(self.file["workers"])

        def ready():
            reports = [self.report(name) for name in names]
            if not all(r and r["ready"] and r["may_send"] for r in reports):
                return False
            open_workers = {
                w["name"] for r in reports for w in r["workers"] if w["open_for_work"]
            }
            return len(open_workers) == wanted

        wait_until(ready, timeout_s=30.0, what="a ready cluster")

    # Using -------------------------------------------------------------------

    def apply(self, file, base, name=None, author="tests"):
        """Apply a file at an instance."""
        form = {"base": base, "author": author, "file": file}
        return self.post(name or self.names[0], "/config", form)

    def spec(self, kind="task", **fields):
        """Return a work with a new id and short defaults."""
        self._ids += 1
        now_ms = _now_ms()
        return {
            "work_id": f"work-{now_ms}-{self._ids}",
            "kind": kind,
            "team": self.file["teams"][0]["name"],
            "resources": {"cpu_milli": 1000, "memory_mb": 512, "accelerators": 0},
            "submitted_at_ms": now_ms,
            "deadline_ms": now_ms + 20_000,
            "run_ms": 100,
            **fields,
        }

    def submit(self, name, *specs, timeout_s=30.0):
        """Submit works and return the answers, or the bare reply's document."""
        reply = self.post(name, "/work", {"works": list(specs)}, timeout_s=timeout_s)
        return reply.document["answers"] if reply.status == 200 else reply

    def lookup(self, name, target="item", **options):
        """Send a lookup to the first service."""
        service = self.file["services"][0]["name"]
        return self.get(name, f"/lookup/{service}/{target}", **options)

    # Breaking ----------------------------------------------------------------

    def switch(self, standin, **fields):
        """Set a stand-in's failures."""
        return self.post(standin, "/switch", fields)

    def set_list(self, **changes):
        """Change the platform's list."""
        return self.post("list", "/set", changes)


def _listens(port):
    with socket.socket() as sock:
        sock.settimeout(0.2)
        return sock.connect_ex((HOST, port)) == 0
