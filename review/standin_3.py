"""Stand-ins of the users' platform: store, advice service and workers, on loopback.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and use the standard library
only. Whatever is sent, answered and run is written to a record.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import struct
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
PARTS = 8
APPEND_S = 0.004
HEARTBEAT_S = 1.5
STORE_PORT, ADVICE_PORT, WORKER_PORT = 8169, 8170, 8080
FRONT, READY, CONTROL, PEERS = 8161, 8167, 8166, 7720
MAX_HOLD_MS = 10_000
STOP_S = 0.02
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


def now_ms():
    """Return the steady clock in milliseconds."""
    return time.monotonic() * 1000.0


class Record:
    """Write one line an event, with the seconds since the beginning."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._began_ms = now_ms()

    def seconds(self):
        """Return the seconds since the beginning."""
        return (now_ms() - self._began_ms) / 1000.0

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.seconds():8.3f} {text}\n")
        self._file.flush()


# HTTP ---------------------------------------------------------------------------


async def read_message(reader):
    """Return the first line, headers and body of a message, None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class HttpService:
    """Serve HTTP/1.1; `handle(method, path, query, headers, body)` answers a call.

    It returns a status and a body: bytes, or a document that is sent as JSON. A status
    of 0 breaks the connection off without an answer.
    """

    def __init__(self, host, port, handle):
        self.host, self.port = host, port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self):
        """Close the listener, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {key: rows[0] for key, rows in parse_qs(url.query).items()}
                status, answer = await self._handle(
                    method, url.path, query, headers, body
                )
                if not status:
                    break
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()


async def call(host, port, method, path, *, headers=(), document=None, timeout_s=3.0):
    """Make a call on a new connection; return status and body, 0 without an answer."""
    body = json.dumps(document).encode() if document is not None else b""
    lines = [f"{method} {path} HTTP/1.1", *headers, f"Content-Length: {len(body)}"]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    return int(first.split(" ")[1]), answer


# The store ----------------------------------------------------------------------


class Partition:
    """Hold the records of a partition, the newest of each key, and its writers."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    def put(self, key, value):
        """Append a record; without a value, the key is dropped."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        self.records.append(struct.pack("!I", len(content)) + content)
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def refusal(self, writer, epoch, sequence, has_records):
        """Take note of a writer; return None, "repeat", or the answer that refuses."""
        known = self.writers.get(writer)
        if known is None or epoch > known[0]:
            self.writers[writer] = (epoch, sequence)
            return None
        if epoch < known[0]:
            return {"reason": "fenced"}
        if not has_records:
            return None
        last = known[1]
        if last - 5 < sequence <= last:
            return "repeat"
        if sequence != last + 1:
            return {"reason": "seq", "seq": last + 1}
        self.writers[writer] = (epoch, sequence)
        return None


class Group:
    """Deal partitions evenly to members; the generation rises with every change."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # ids: [until, generation], in the order of joining
        self.owners = dict.fromkeys(range(PARTS), "")

    def join(self, member_id, ttl_ms, generation):
        """Add a member or renew it; return its partitions."""
        self.expire()
        if member_id not in self.members:
            self.generation += 1
            self.members[member_id] = [0.0, 0]
        member = self.members[member_id]
        member[0] = now_ms() + ttl_ms
        member[1] = max(member[1], generation)
        self._deal()
        return [part for part, owner in self.owners.items() if owner == member_id]

    def leave(self, member_id):
        """Remove a member."""
        if self.members.pop(member_id, None) is not None:
            self.generation += 1
            self._deal()

    def expire(self):
        """Remove the members that were silent for their time."""
        for member_id, (until_ms, _) in list(self.members.items()):
            if until_ms < now_ms():
                self.leave(member_id)

    def _deal(self):
        names = list(reversed(self.members))
        changed = False
        for part, owner in self.owners.items():
            wanted = names[part * len(names) // PARTS] if names else ""
            member = self.members.get(owner)
            may_pass = member is None or member[1] >= self.generation
            if owner != wanted and may_pass:
                self.owners[part] = wanted
                changed = True
        self.generation += changed


class Store:
    """Serve the platform's metadata store."""

    def __init__(self, host):
        self.service = HttpService(host, STORE_PORT, self._handle)
        self._partitions = {}
        self._groups = {}

    def partition(self, topic, part=0):
        """Return a partition, made on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def write(self, topic, key, document):
        """Write a record as the operator or a worker does; None drops the key."""
        value = json.dumps(document).encode() if document is not None else b""
        self.partition(topic).put(key, value)

    async def _handle(self, method, path, query, headers, body):
        name = path.strip("/").replace("-", "_")
        handler = getattr(self, f"_{name}", None)
        if handler is None:
            return 404, {}
        return await handler(query, body)

    async def _log_append(self, query, body):
        topic = query["topic"]
        if topic == "keyed.servers":
            return 403, {}
        partition = self.partition(topic, int(query["part"]))
        records = _decode(body)
        async with partition.turn:
            await asyncio.sleep(APPEND_S)
            end = len(partition.records)
            if "at_rev" in query and int(query["at_rev"]) != end:
                return 412, {"end_offset": end}
            if "producer_id" in query:
                refusal = partition.refusal(
                    query["producer_id"],
                    int(query["epoch"]),
                    int(query["seq"]),
                    bool(records),
                )
                if isinstance(refusal, dict):
                    return 409, refusal
                if refusal == "repeat":
                    return 200, {"offset": end, "end_offset": end}
            for key, value in records:
                partition.put(key, value)
            return 200, {"offset": end, "end_offset": len(partition.records)}

    async def _log_newest(self, query, body):
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items = [
            {
                "tls_key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:500]
        ]
        end = len(partition.records)
        return 200, {"items": items, "truncated": len(keys) > 500, "end_offset": end}

    async def _log_read(self, query, body):
        partition = self.partition(query["topic"], int(query["part"]))
        first, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000.0
        if first >= len(partition.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_s)
        head = struct.pack("!QQ", len(partition.records), 0)
        return 200, head + b"".join(partition.records[first:])

    async def _log_join(self, query, body):
        call = json.loads(body)
        group = self._groups.setdefault(call["group"], Group())
        parts = group.join(call["member_id"], call["ttl_ms"], call["generation"])
        rows = [[call["topics"][0], part, 0] for part in parts]
        return 200, {"generation": group.generation, "parts": rows}

    async def _log_leave(self, query, body):
        call = json.loads(body)
        self._groups.setdefault(call["group"], Group()).leave(call["member_id"])
        return 200, {}

    async def _log_owners(self, query, body):
        group = self._groups.setdefault(query["group"], Group())
        group.expire()
        rows = [["keyed.cells", part, one, 0] for part, one in group.owners.items()]
        return 200, {"owners": [row for row in rows if row[2]]}

    async def _log_commit(self, query, body):
        return 200, {}


def _decode(body):
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from("!I", body, at)
        content = body[at + 4 : at + 4 + length]
        at += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


# The advice service -------------------------------------------------------------


class Advice:
    """Allow every worker for every step."""

    def __init__(self, host, record, *, decision_ms=20.0, valid_ms=2_500):
        self.service = HttpService(host, ADVICE_PORT, self._handle)
        self.calls = 0
        self._record = record
        self._decision_s = decision_ms / 1000.0
        self._valid_ms = valid_ms

    async def _handle(self, method, path, query, headers, body):
        self.calls += 1
        call = json.loads(body)
        await asyncio.sleep(self._decision_s)
        rows = [[worker, f"t-{worker}"] for worker in call["workers"]]
        self._record.write(f"advice at {self.service.host}: {call['step']}")
        return 200, {"healthy": rows, "valid_ms": self._valid_ms}


# Workers ------------------------------------------------------------------------


class Run:
    """Hold one run of a task on a worker."""

    def __init__(self, task, run_id, work_ms):
        self.task, self.run_id = task, run_id
        self.began_ms = now_ms()
        self.work_ms = work_ms
        self.is_stopping = False

    @property
    def percent(self):
        """Return the progress in percent."""
        return min(99, int(100.0 * (now_ms() - self.began_ms) / self.work_ms))


class Worker:
    """Run tasks under a lease by its own clock.

    `work_ms(task)` returns how long a task works. A crash loses everything; the next
    life of the machine has another id, at the same address. `beats` counts the
    heartbeats of a life.
    """

    def __init__(self, store, record, host, machine, *, zone, labels, cpu, work_ms):
        self.machine = machine
        self.life = 0
        self.worker_id = ""
        self.is_up = False
        self._store, self._record = store, record
        self._zone, self._labels, self._cpu = zone, labels, cpu
        self._work_ms = work_ms
        self.service = HttpService(host, WORKER_PORT, self._handle)
        self.on_start = lambda worker, run: None
        self.on_end = lambda worker, run, how: None

    async def start(self):
        """Begin a life."""
        self.life += 1
        self.worker_id = f"i-{self.machine}-{self.life}"
        self.is_up = True
        self.running, self.ended, self._closed = {}, [], {}
        self._next_end, self._fence, self._lease_ms = 1, 0, 0.0
        self._born_ms, self.beats = now_ms(), 0
        self._changed = asyncio.Event()
        await self.service.start()
        self._tasks = [
            asyncio.create_task(self._beat(self.worker_id)),
            asyncio.create_task(self._work()),
        ]
        self._record.write(f"{self.worker_id} is up")

    async def crash(self):
        """Lose everything without a word; the entry goes after three heartbeats."""
        lost = [f"{run.task}/{run.run_id}" for run in self.running.values()]
        self._record.write(f"{self.worker_id} crashes, running {lost}")
        for run in self.running.values():
            self.on_end(self, run, "crashed")
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        await self.service.stop()
        asyncio.create_task(self._drop_entry(self.worker_id))  # noqa: RUF006

    async def stop(self):
        """End without a trace, at the end of a script."""
        if self.is_up:
            self.is_up = False
            for task in self._tasks:
                task.cancel()
            await self.service.stop()

    async def _drop_entry(self, worker_id):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.write("keyed.servers", worker_id, None)

    async def _beat(self, worker_id):
        while True:
            self.beats += 1
            entry = {
                "service": "svc",
                "machine_id": self.machine,
                "address": f"{self.service.host}:{WORKER_PORT}",
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self._cpu, "mem_mb": 32_768, "gpus": 0},
                "labels": self._labels,
                "seq": self.beats,
            }
            self._store.write("keyed.servers", worker_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            for key, run in list(self.running.items()):
                if self._clock_ms() > self._lease_ms:
                    self._end(key, "lapsed")
                elif not run.is_stopping and now_ms() > run.began_ms + run.work_ms:
                    self._end(key, "done")

    def _clock_ms(self):
        return int(now_ms() - self._born_ms) + 1_000

    def _end(self, key, how):
        run = self.running.pop(key)
        self._closed[run.task] = max(run.run_id, self._closed.get(run.task, 0))
        self.ended.append([self._next_end, run.task, run.run_id, how, ""])
        self._next_end += 1
        self._record.write(f"{self.worker_id} ends {run.task}/{run.run_id}: {how}")
        self.on_end(self, run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.worker_id) != self.worker_id:
            return 421, {}
        call = json.loads(body)
        if call.get("fence_token", 0) < self._fence:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self._fence = call.get("fence_token", 0)
        if path == "/hold":
            return await self._hold(call)
        if path == "/run-start":
            return self._start_run(call)
        if path == "/run-stop":
            return self._stop_run(call)
        return 200, {"clock_ms": self._clock_ms()}

    def _take_lease(self, call):
        deadline_ms = min(call.get("deadline_ms", 0), self._clock_ms() + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, deadline_ms)

    def _start_run(self, call):
        task, run_id, clock_ms = call["task"], call["run_id"], self._clock_ms()
        key = (task, run_id)
        if key not in self.running:
            if run_id <= self._closed.get(task, 0):
                self._take_lease(call)
                return 409, {"clock_ms": clock_ms, "reason": "old"}
            if call["deadline_ms"] <= clock_ms:
                return 409, {"clock_ms": clock_ms, "reason": "late"}
            run = self.running[key] = Run(task, run_id, self._work_ms(task))
            self._record.write(f"{self.worker_id} starts {task}/{run_id}")
            self.on_start(self, run)
        self._take_lease(call)
        return 200, {"clock_ms": clock_ms}

    def _stop_run(self, call):
        task, run_id = call["task"], call["run_id"]
        self._closed[task] = max(run_id, self._closed.get(task, 0))
        run = self.running.get((task, run_id))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._stopped, run)
        return 200, {"clock_ms": self._clock_ms()}

    def _stopped(self, run):
        if self.running.get((run.task, run.run_id)) is run:
            self._end((run.task, run.run_id), "stopped")

    async def _hold(self, call):
        self.ended = [row for row in self.ended if row[0] > call.get("last_seen", 0)]
        self._take_lease(call)
        wait_s = min(2_000, call.get("wait_ms", 0)) / 1000.0
        if wait_s and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        running = [
            [run.task, run.run_id, "", run.percent] for run in self.running.values()
        ]
        clock_ms = self._clock_ms()
        return 200, {
            "clock_ms": clock_ms,
            "running": running,
            "ended": self.ended[:500],
        }


# The system ---------------------------------------------------------------------


class Daemon:
    """One process of the system, started by the line `run` of the deploy file."""

    def __init__(self, folder, number, host, platform_host, zone):
        self.host, self.name = host, f"edge-{number}"
        self.fields = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": host,
            "zone": zone,
            "region": "r",
            "listen.front": f"{host}:{FRONT}",
            "listen.ready": f"{host}:{READY}",
            "listen.control": f"{host}:{CONTROL}",
            "port_range": f"{PEERS},{PEERS + 15}",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": str(int(HEARTBEAT_S * 1000)),
            "bounds.grace_s": "6",
            "bounds.stop_timeout_ms": "200",
            "bounds.cancel_ms": "3000",
            "bounds.max_hold_ms": str(MAX_HOLD_MS),
            "bounds.gang_wait_ms": "3000",
            "bounds.early_ms": "250",
            "bounds.status_s": "120",
            "orders": "call",
            "advice": f"{platform_host}:{ADVICE_PORT}",
            "platform.address": f"{platform_host}:{STORE_PORT}",
            "platform.form": "log",
            "platform.parts": str(PARTS),
            "platform.min_ttl_ms": "1000",
            "platform.max_record_bytes": "262144",
            "platform.max_call_bytes": "2097152",
        }
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self.process = None

    def write_settings(self):
        """Write the settings file whole, as the platform does."""
        lines = [f"{name}={value}\n" for name, value in self.fields.items()]
        whole = self._settings.with_suffix(".new")
        whole.write_text("".join(lines))
        whole.replace(self._settings)

    async def start(self, run_line):
        """Start the process."""
        self.write_settings()
        self.fields["bootstrap"] = "false"
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["THYMEFORK_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run_line.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether it calls itself ready."""
        status, _ = await call(self.host, READY, "GET", "/ready", timeout_s=1.0)
        return status == 200


def route(**fields):
    """Return a route of the configuration."""
    return {
        "name": "r-1",
        "host": "a.example",
        "path_prefix": "/jobs/",
        "type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": "svc",
        "max_attempts": 3,
        "stretch": 1.5,
        **fields,
    }


def configuration(version, *routes):
    """Return a configuration with these routes."""
    service = {"name": "svc", "max_conns": 64, "admission_check": False}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": list(routes),
        "services": [service],
        "limits": limits,
    }


class Client:
    """A client of one route; it tries other daemons after no answer, 502, 503, 504."""

    def __init__(self, daemons, record, *, host="a.example", prefix="/jobs/"):
        self._daemons, self._record = daemons, record
        self._host, self._prefix = host, prefix
        self._next = 0

    async def _call(self, method, path, document=None):
        daemon = self._daemons[self._next % len(self._daemons)]
        headers = (f"Host: {self._host}", "Deadline-Ms: 3000")
        status, body = await call(
            daemon.host, FRONT, method, path, headers=headers, document=document
        )
        if status in (0, 429, 502, 503, 504):
            self._next += 1
        return status, body

    async def submit(self, job_id, document, *, for_s=10.0):
        """Hand a job in until it is accepted; return the last status."""
        until_ms = now_ms() + 1000.0 * for_s
        while True:
            status, _ = await self._call("POST", self._prefix + job_id, document)
            self._record.write(f"client sends job {job_id}: {status}")
            if 200 <= status < 300 or now_ms() > until_ms:
                return status
            await asyncio.sleep(0.3)

    async def state(self, job_id):
        """Return a job's state as shown, its status if that is none, "" if silent."""
        status, body = await self._call("GET", self._prefix + job_id)
        if status == 200:
            return json.loads(body)["state"]
        return str(status) if status else ""

    async def cancel(self, job_id):
        """Cancel a job; return the status."""
        status, _ = await self._call("DELETE", self._prefix + job_id)
        self._record.write(f"client cancels job {job_id}: {status}")
        return status


def run_line():
    """Return the command of the deploy file."""
    import tomllib

    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return document["roles"]["entry"]["run"]


class Site:
    """A small deployment: the platform, workers and daemons, all on loopback."""

    def __init__(self, folder, record, *, daemons=3):
        pid = os.getpid()
        self.base = f"127.{40 + pid % 180}.{pid // 180 % 250}"
        self.record = record
        self.store = Store(self.host(1))
        self.advice = Advice(self.host(1), record)
        self.workers = []
        self.daemons = [
            Daemon(folder, n, self.host(10 + n), self.host(1), f"zone-{n % 3}")
            for n in range(daemons)
        ]

    def host(self, number):
        """Return a loopback address of this deployment."""
        return f"{self.base}.{number}"

    def add_worker(self, number, *, work_ms, labels=("a",), cpu=16_000):
        """Add a worker; it isn't started yet."""
        worker = Worker(
            self.store,
            self.record,
            self.host(100 + number),
            f"m-{number}",
            zone=f"zone-{number % 3}",
            labels=[*labels, f"r1-{number // 8}"],
            cpu=cpu,
            work_ms=work_ms,
        )
        self.workers.append(worker)
        return worker

    async def start(self, *routes, ready_s=25.0):
        """Start everything; return whether all daemons got ready in time."""
        await self.store.service.start()
        await self.advice.service.start()
        self.store.write("keyed.op", "config", configuration(1, *routes))
        for worker in self.workers:
            await worker.start()
        for daemon in self.daemons:
            await daemon.start(run_line())
        until_ms = now_ms() + 1000.0 * ready_s
        while now_ms() < until_ms:
            await asyncio.sleep(0.2)
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready):
                self.record.write("all daemons are ready")
                return True
        return False

    async def stop(self):
        """End all processes and services."""
        for daemon in self.daemons:
            await daemon.end()
        for worker in self.workers:
            await worker.stop()
        await self.advice.service.stop()
        await self.store.service.stop()


def main(case, *, limit_s=110.0, daemons=3):
    """Run `case(site, trouble)`; exit with 1 if it returns False, 2 if it can't run."""
    import sys
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[1]) / "record.txt")
    record.write(f"TROUBLE={int(trouble)}")

    async def run(folder):
        site = Site(Path(folder), record, daemons=daemons)
        try:
            async with asyncio.timeout(limit_s):
                return await case(site, trouble)
        finally:
            await site.stop()

    status = 2
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            held = asyncio.run(run(folder))
        status = {True: 0, False: 1}.get(held, 2)
    except Exception as failure:
        record.write(f"could not run: {failure!r}")
    record.write(f"exit {status}")
    sys.exit(status)
