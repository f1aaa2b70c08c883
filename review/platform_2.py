"""Stand-ins of the platform, of workers and of callers for the cases of this folder.

They follow the users' pages (PROTOCOL.md, DEPLOY.md, NEWS-25.md). Everything runs in
one event loop; the daemons are separate processes, started with the command of the
deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.5
STORE_PORT, WORKER_PORT, OTHER_PORT = 18_169, 18_080, 18_090
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 18_161, 18_167, 18_166, 17_720
METRICS_PORT = 9_464
MAX_HOLD_MS = 10_000.0
MAX_LISTED_ENDS = 500
QUEUE_HOST, QUEUE_PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
# Bounds of the site file cab-bogota that the daemons read.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "max_hold_ms": 10000,
    "stop_timeout_ms": 200,
    "gang_wait_ms": 3000,
    "early_ms": 250,
    "status_s": 120,
}


# HTTP ---------------------------------------------------------------------------------


class Server:
    """Serve HTTP/1.1; a handler that returns None leaves its call unanswered."""

    def __init__(self, host, port, handle):
        self.host, self.port = host, port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen; the address was found free before."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self):
        """Stop to listen and reset all connections, as when a process ends."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                answer = await self._handle(*request)
                if answer is None:
                    await asyncio.sleep(3600)  # says nothing more
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    return method, unquote(url.path), query, headers, body


def _json(status, document):
    return status, json.dumps(document).encode()


async def call(host, port, method, path, document=None, timeout_s=3.0):
    """Call a daemon on a new connection; return the status, 0 without one, and body."""
    try:
        return await asyncio.wait_for(
            _call(host, port, method, path, document), timeout_s
        )
    except (OSError, EOFError, TimeoutError):
        return 0, None


async def _call(host, port, method, path, document):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        body = b"" if document is None else json.dumps(document).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\nDeadline-Ms: 3000\r\n"
        )
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(lines.split("content-length:")[1].split("\r\n")[0])
        content = await reader.readexactly(length)
        return int(lines.split(" ")[1]), json.loads(content) if content else None
    finally:
        writer.close()


# Store --------------------------------------------------------------------------------


class Partition:
    """Hold the records of a partition, and its writers' epochs and numbers."""

    def __init__(self):
        self.records = []  # content of each record, bytes
        self.newest = {}  # key, bytes: (value, offset)
        self.writers = {}  # producer id: [epoch, last number, answers by number]
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    def add(self, contents):
        """Add records; return the offsets of the first one and of the end."""
        first = len(self.records)
        for content in contents:
            end = 1 + content[0]
            key, value = content[1:end], content[end:]
            self.records.append(content)
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, len(self.records) - 1)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": first, "end_offset": len(self.records)}


class Group:
    """Deal the partitions of a topic to members; each change raises the generation."""

    def __init__(self, parts):
        self.generation = 0
        self._parts = parts
        self._members = {}  # id: [until, generation]
        self._target, self._holder = {}, {}

    def _deal(self):
        self.generation += 1
        names = list(self._members)
        for part in range(self._parts):
            number = part * len(names) // self._parts
            self._target[part] = names[number] if names else None

    def _settle(self, now):
        gone = [name for name, row in self._members.items() if now > row[0]]
        for name in gone:
            del self._members[name]
        if gone:
            self._deal()
        for part, target in self._target.items():
            holder = self._holder.get(part)
            row = self._members.get(holder)
            if holder != target and (row is None or row[1] >= self.generation):
                self._holder[part] = target

    def join(self, name, ttl_s, generation, topic):
        """Join or remain; return the generation and the member's partitions."""
        now = time.monotonic()
        self._settle(now)
        if name not in self._members:
            self._members = {name: [now + ttl_s, 0], **self._members}
            self._deal()
        row = self._members[name]
        row[0], row[1] = now + ttl_s, max(row[1], generation)
        self._settle(now)
        parts = [
            [topic, part, 0]
            for part in range(self._parts)
            if self._holder.get(part) == name == self._target.get(part)
        ]
        return {"generation": self.generation, "parts": parts}

    def leave(self, name):
        """Take a member out."""
        if self._members.pop(name, None) is not None:
            self._deal()
        self._settle(time.monotonic())

    def owners(self, topic):
        """Return rows of topic, partition, member and offset."""
        self._settle(time.monotonic())
        return [[topic, part, name, 0] for part, name in self._holder.items() if name]


class Store:
    """The platform's metadata store; while `is_down` no call is answered or done."""

    def __init__(self, host, record):
        self.is_down = False
        self._record = record
        self._partitions = {}
        self._groups = {}
        self.server = Server(host, STORE_PORT, self._handle)

    def partition(self, topic, part=0):
        """Return a partition, which comes into being on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Write a record of a keyed topic; an empty value drops the key."""
        name = key if isinstance(key, bytes) else key.encode()
        self.partition(topic).add([bytes([len(name)]) + name + value])

    async def _handle(self, method, path, query, headers, body):
        if self.is_down:
            return None
        answer = await self._answer(path, query, body)
        return None if self.is_down else answer

    async def _answer(self, path, query, body):
        await asyncio.sleep(0.002)
        if path == "/log-append":
            return await self._append(query, body)
        if path == "/log-read":
            return await self._read(query)
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-owners":
            group = self._groups.get(query["group"])
            return _json(200, {"owners": group.owners("keyed.cells") if group else []})
        document = json.loads(body)
        group = self._groups.setdefault(document["group"], Group(8))
        if path == "/log-join":
            topic, ttl_s = document["topics"][0], document["ttl_ms"] / 1000
            generation = document["generation"]
            return _json(
                200, group.join(document["member_id"], ttl_s, generation, topic)
            )
        if path == "/log-leave":
            group.leave(document["member_id"])
            return _json(200, {})
        return _json(404, {})

    async def _append(self, query, body):
        topic, partition = query["topic"], self.partition(query["topic"])
        if topic in ("keyed.op", "keyed.servers"):
            return _json(403, {})
        partition = self.partition(topic, int(query["part"]))
        contents, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from("!I", body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        async with partition.turn:
            await asyncio.sleep(0.004)
            return self._append_now(partition, query, contents)

    def _append_now(self, partition, query, contents):
        if "at_rev" in query and int(query["at_rev"]) != len(partition.records):
            return _json(412, {"end_offset": len(partition.records)})
        if "producer_id" not in query:
            return _json(200, partition.add(contents))
        epoch, number = int(query["epoch"]), int(query["seq"])
        writer = partition.writers.get(query["producer_id"])
        if writer is not None and epoch < writer[0]:
            return _json(409, {"reason": "fenced"})
        if writer is None or epoch > writer[0]:
            writer = partition.writers[query["producer_id"]] = [epoch, number - 1, {}]
        if not contents:
            end = len(partition.records)
            return _json(200, {"offset": end, "end_offset": end})
        if number in writer[2]:
            return _json(200, writer[2][number])
        if number != writer[1] + 1:
            return _json(409, {"reason": "seq", "seq": writer[1] + 1})
        writer[1], answer = number, partition.add(contents)
        writer[2][number] = answer
        writer[2].pop(number - 5, None)
        return _json(200, answer)

    async def _read(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        offset, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if offset >= len(partition.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_s)
        body, size = [struct.pack("!QQ", len(partition.records), 0)], 0
        for content in partition.records[offset:]:
            size += len(content)
            if size > 1_024_000:
                break
            body.append(struct.pack("!I", len(content)) + content)
        return 200, b"".join(body)

    def _newest(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        after = query.get("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "tls_key": key.decode(errors="replace"),
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:500]
        ]
        document = {"items": items, "truncated": len(keys) > 500}
        return _json(200, {**document, "end_offset": len(partition.records)})


# Workers ------------------------------------------------------------------------------


class Worker:
    """One machine with a worker; a crash ends its life, and `restart` begins the next.

    A stop takes `stop_ms`, and is answered once the run has stopped.
    """

    def __init__(self, *, number, host, world, labels, cpu=16_000, stop_ms=0):
        self.machine_id = f"m-{number:04x}"
        self.host, self.labels, self.cpu = host, labels, cpu
        self.stop_ms = stop_ms
        self.is_up = False
        self.writes_entry = True
        self.worker_id = ""
        self._world = world
        self._lives = 0
        self._phase_s = random.uniform(0.0, HEARTBEAT_S)
        self._tasks = []
        self.running = {}  # (task, run): [began, lease end is the worker's]

    def _clock_ms(self):
        return int((time.monotonic() - self._born) * 1000) + 1

    async def restart(self):
        """Begin a new life under a new id, which runs nothing and knows no fence."""
        self._lives += 1
        self.worker_id = f"i-{self.machine_id[2:]}{self._lives:04x}"
        self._born = time.monotonic()
        self._fence, self._lease_ms, self._seq = 0, 0.0, 0
        self.running, self._ended, self._closed = {}, [], {}
        self._next_end = 1
        self._news = asyncio.Event()
        self.server = Server(self.host, WORKER_PORT, self._handle)
        await self.server.start()
        self.is_up = True
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._tick()),
        ]
        self._world.record(f"worker {self.worker_id} of {self.machine_id} begins")

    async def crash(self):
        """End the life at once; it says nothing, and all that runs on it dies."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        await self.server.stop()
        lost = sorted(f"{task}/{run}" for task, run in self.running)[:20]
        self.running = {}
        self._world.record(f"worker {self.worker_id} crashes with {lost or 'nothing'}")

    def entry(self):
        """Return the worker's entry in the store."""
        return {
            "service": SERVICE,
            "address": f"{self.host}:{WORKER_PORT}",
            "zone": "bog-norte",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "machine_id": self.machine_id,
            "capacity": {"cpu": self.cpu, "mem_mb": 32_768, "gpus": 0},
            "labels": self.labels,
            "clock_ms": self._clock_ms(),
            "seq": self._seq,
        }

    def write_entry(self):
        """Write the entry if the store takes it; return whether it did."""
        self._seq += 1
        if self._world.store.is_down or not self.writes_entry:
            return False
        value = json.dumps(self.entry()).encode()
        self._world.store.put("keyed.servers", self.worker_id, value)
        self._world.last_beat[self.worker_id] = time.monotonic()
        return True

    async def _beat(self):
        await asyncio.sleep(0.05 if self._lives > 1 else self._phase_s)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for key, (began, work_ms) in list(self.running.items()):
                if self._clock_ms() > self._lease_ms:
                    self._end(key, "lapsed")
                elif (now - began) * 1000 > work_ms:
                    self._end(key, "done")

    def _end(self, key, how):
        task, run = key
        del self.running[key]
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._ended.append([self._next_end, task, run, how, ""])
        self._next_end += 1
        self._world.record(f"end {how} of {task} run {run} on {self.worker_id}")
        self._world.on_end(self, task, run, how)
        self._news.set()
        self._news = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if not self.is_up:
            return None
        expected = headers.get("expected-instance")
        if expected and expected != self.worker_id:
            return _json(421, {"clock_ms": self._clock_ms()})
        document = json.loads(body)
        if document.get("fence_token", 0) < self._fence:
            return _json(409, {"clock_ms": self._clock_ms(), "reason": "fence"})
        self._fence = document.get("fence_token", 0)
        if path == "/hold":
            return await self._hold(document)
        if path == "/run-start":
            return self._start(document)
        if path == "/run-stop":
            key = (document["task"], document["run_id"])
            self._closed[key[0]] = max(key[1], self._closed.get(key[0], 0))
            await asyncio.sleep(self.stop_ms / 1000)
            if key in self.running:
                self._end(key, "stopped")
        return _json(200, {"clock_ms": self._clock_ms()})

    def _take_lease(self, deadline_ms):
        bounded = min(deadline_ms, self._clock_ms() + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, bounded)

    def _start(self, document):
        key, clock_ms = (document["task"], document["run_id"]), self._clock_ms()
        if key not in self.running:
            if key[1] <= self._closed.get(key[0], 0):
                self._take_lease(document["deadline_ms"])
                return _json(409, {"clock_ms": clock_ms, "reason": "old"})
            if document["deadline_ms"] <= clock_ms:
                return _json(409, {"clock_ms": clock_ms, "reason": "late"})
            self._world.record(f"start of {key[0]} run {key[1]} on {self.worker_id}")
            self._world.on_start(self, *key)
            self.running[key] = [time.monotonic(), self._world.work_ms(key[0])]
        self._take_lease(document["deadline_ms"])
        return _json(200, {"clock_ms": clock_ms})

    async def _hold(self, document):
        seen = document.get("last_seen", 0)
        for number, task, run, how, _ in self._ended:
            if number <= seen:
                self._world.on_noted(self, task, run, how)
        self._ended = [row for row in self._ended if row[0] > seen]
        if document.get("deadline_ms"):
            self._take_lease(document["deadline_ms"])
        wait_s = document.get("wait_ms", 0) / 1000
        if wait_s and not self._ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), wait_s)
        rows = [
            [task, run, "", self._percent(began, work_ms)]
            for (task, run), (began, work_ms) in self.running.items()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        return _json(
            200, {"clock_ms": self._clock_ms(), "running": rows, "ended": ended}
        )

    @staticmethod
    def _percent(began, work_ms):
        worked_ms = (time.monotonic() - began) * 1000
        if work_ms == float("inf"):
            return 100 if worked_ms > 200 else 0
        return min(99, int(100 * worked_ms / work_ms))


class OtherServer:
    """A server of another system; it knows none of the workers' calls."""

    def __init__(self, host):
        self.server = Server(host, OTHER_PORT, self._handle)

    async def _handle(self, method, path, query, headers, body):
        return _json(404, {})


# Daemons ------------------------------------------------------------------------------


class Daemon:
    """A daemon as a separate process, started with the command of the deploy file."""

    def __init__(self, *, number, host, world):
        self.host, self.number = host, number
        self._world = world
        self._folder = world.folder
        self._settings = world.folder / f"edge-{number}.conf"
        fields = {
            "node_name": f"edge-bog-norte-{number}",
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": host,
            "zone": "bog-norte",
            "region": "co-andina",
            "listen.front": f"{host}:{FRONT_PORT}",
            "listen.ready": f"{host}:{READY_PORT}",
            "listen.control": f"{host}:{CONTROL_PORT}",
            "port_range": f"{PEER_PORT},{PEER_PORT + 15}",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": str(int(HEARTBEAT_S * 1000)),
            "orders": "call",
            "platform.address": f"{world.host}:{STORE_PORT}",
            "platform.form": "log",
            "platform.parts": "8",
            "platform.max_record_bytes": "262144",
            "platform.max_call_bytes": "2097152",
            "platform.min_ttl_ms": "1000",
            **{f"bounds.{name}": str(value) for name, value in BOUNDS.items()},
        }
        lines = [f"{name}={value}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.process = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["THYMEFORK_CONFIG"] = str(self._settings)
        with (self._folder / f"edge-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._world.record(f"daemon {self.number} starts")

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# World --------------------------------------------------------------------------------


class World:
    """A small deployment: the store, workers and daemons, and what was seen.

    `twice` lists starts beside another run of the task on a worker that is up.
    """

    def __init__(self, case_folder):
        self.folder = Path(tempfile.mkdtemp(prefix="thymefork-review-"))
        self._began = time.monotonic()
        self._lines = []
        self._case_folder = case_folder
        self._network = self._find_network()
        self.host = f"{self._network}.1"
        self.store = Store(self.host, self.record)
        self.workers, self.daemons, self.others = [], [], []
        self.jobs = {}
        self.last_beat = {}
        self.runs = {}  # task: {(worker id, run): worker}
        self.starts, self.ends = [], []
        self.noted_done = set()
        self.twice = []
        self._tasks = []

    @staticmethod
    def _find_network():
        """Return the first bytes of loopback addresses whose ports are free."""
        ports = (STORE_PORT, WORKER_PORT, OTHER_PORT, FRONT_PORT, METRICS_PORT)
        for _ in range(50):
            network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for last in (1, 11, 31, 61):
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{last}", port))
                return network
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def now(self):
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began

    def record(self, text):
        """Add a line to the record."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def write_record(self, verdict):
        """Write what was sent, answered and run into the case's folder."""
        self.record(verdict)
        text = "\n".join(self._lines) + "\n"
        (self._case_folder / "record.txt").write_text(text, encoding="utf-8")

    # What workers saw

    def work_ms(self, task):
        """Return how long a task works."""
        job_id, _, step, _ = task.split(".")
        row = self.jobs[job_id]["steps"][int(step)]
        return float("inf") if row.get("long_running") else row["estimated_ms"]

    def on_start(self, worker, task, run):
        """Note a start, and whether another run of the task goes on."""
        others = [
            f"run {number} on {name}"
            for (name, number), other in self.runs.get(task, {}).items()
            if other.is_up
            and other.worker_id == name
            and (task, number) in other.running
        ]
        self.starts.append((self.now(), task, run, worker.worker_id))
        if others:
            text = f"TWICE: {task} run {run} on {worker.worker_id} beside {others}"
            self.twice.append(text)
            self.record(text)
        elif task in self.noted_done:
            text = f"TWICE: {task} run {run} on {worker.worker_id} after its end"
            self.twice.append(text)
            self.record(text)
        self.runs.setdefault(task, {})[worker.worker_id, run] = worker

    def on_end(self, worker, task, run, how):
        """Note an end."""
        self.ends.append((self.now(), task, run, how, worker.worker_id))

    def on_noted(self, worker, task, run, how):
        """Note that an end was taken note of."""
        if how == "done" and not self.jobs[task.split(".")[0]]["steps"][
            int(task.split(".")[2])
        ].get("long_running"):
            self.noted_done.add(task)

    # Setting up

    def add_worker(self, labels=("a", "r1-1"), cpu=16_000, **more):
        """Add a machine with a worker."""
        number = len(self.workers) + 1
        host = f"{self._network}.{30 + number}"
        worker = Worker(
            number=number, host=host, world=self, labels=list(labels), cpu=cpu, **more
        )
        self.workers.append(worker)
        return worker

    def add_daemon(self):
        """Add a daemon."""
        number = len(self.daemons) + 1
        host = f"{self._network}.{10 + number}"
        daemon = Daemon(number=number, host=host, world=self)
        self.daemons.append(daemon)
        return daemon

    async def add_other(self):
        """Start a server of another system; return its address."""
        other = OtherServer(f"{self._network}.{61 + len(self.others)}")
        await other.server.start()
        self.others.append(other)
        return f"{other.server.host}:{OTHER_PORT}"

    def write_other_entry(self, key, document):
        """Write an entry of another writer among those of the workers."""
        value = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self.store.put("keyed.servers", key, value)
        name = key.decode("latin-1") if isinstance(key, bytes) else key
        shown = name if len(name) < 60 else f"{name[:40]}... ({len(name)} bytes)"
        self.record(f"another writer's entry servers/{shown!r}: {value.decode()}")

    def configure(self, version=7, **queue):
        """Write the operator's configuration with one queue, without advice."""
        route = {
            "name": "r-3hwrr6x",
            "host": QUEUE_HOST,
            "path_prefix": QUEUE_PREFIX,
            "type": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1200,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 2.2,
            **queue,
        }
        service = {"name": SERVICE, "max_conns": 64, "admission_check": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        document = {"version": version, "routes": [route], "services": [service]}
        document["limits"] = limits
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record(f"configuration {version}")

    async def start(self, settle_s=8.0):
        """Start all; wait until each daemon is ready, and raise if one isn't."""
        await self.store.server.start()
        self.configure()
        for worker in self.workers:
            await worker.restart()
        self._tasks.append(asyncio.ensure_future(self._drop_silent_entries()))
        for daemon in self.daemons:
            daemon.start()
        deadline = time.monotonic() + 25.0
        while not await self._all_ready():
            if time.monotonic() > deadline:
                raise TimeoutError("a daemon did not become ready")
            await asyncio.sleep(0.2)
        self.record("all daemons are ready")
        await asyncio.sleep(settle_s)

    async def _all_ready(self):
        for daemon in self.daemons:
            status, _ = await call(daemon.host, READY_PORT, "GET", "/ready")
            if status != 200:
                return False
        return True

    async def _drop_silent_entries(self):
        """Let an entry vanish after three heartbeats without a write."""
        while True:
            await asyncio.sleep(0.05)
            if self.store.is_down:
                continue
            oldest = time.monotonic() - 3 * HEARTBEAT_S
            for worker_id, beat in list(self.last_beat.items()):
                if beat < oldest:
                    self.drop_entry(worker_id)

    def drop_entry(self, worker_id):
        """Let the entry of a worker vanish."""
        if self.last_beat.pop(worker_id, None) is not None:
            self.store.put("keyed.servers", worker_id, b"")
            self.record(f"entry servers/{worker_id} goes")

    async def stop(self):
        """End all processes and servers that were started."""
        for daemon in self.daemons:
            daemon.end()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        for server in [self.store, *self.others]:
            await server.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Callers

    async def submit(self, steps, daemon=None, **more):
        """Hand a job in, with retries of the same id; return its id and the answers.

        `more` are further fields of the job.
        """
        job_id = f"{random.getrandbits(64):016x}"
        job = {"spec": f"text of {job_id}", "steps": steps, **more}
        self.jobs[job_id] = job
        answers = []
        for _ in range(5):
            chosen = daemon or random.choice(self.daemons)
            status, _ = await call(
                chosen.host, FRONT_PORT, "POST", QUEUE_PREFIX + job_id, job
            )
            answers.append(status)
            self.record(f"POST {job_id} at daemon {chosen.number}: {status}")
            if status == 200:
                break
            await asyncio.sleep(0.4)
        return job_id, answers

    async def state(self, job_id, daemon=None):
        """Ask for a job's state; return it, or the status as a text."""
        chosen = daemon or random.choice(self.daemons)
        status, document = await call(
            chosen.host, FRONT_PORT, "GET", QUEUE_PREFIX + job_id
        )
        shown = document["state"] if status == 200 else str(status)
        self.record(f"GET {job_id} at daemon {chosen.number}: {shown}")
        return shown

    async def wait_for(self, job_id, states, timeout_s):
        """Ask each half second until a job is in one of some states; return it."""
        until = time.monotonic() + timeout_s
        while True:
            shown = await self.state(job_id)
            if shown in states or time.monotonic() > until:
                return shown
            await asyncio.sleep(0.5)


def run_case(scenario, case_folder):
    """Run a scenario; return 1 if the rule was broken, 0 if it held, 2 if neither.

    `scenario(world, trouble)` returns what was broken, a text or an empty one.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(case_folder)
        world.record(f"trouble: {trouble}")
        try:
            broken = await asyncio.wait_for(scenario(world, trouble), 110)
        except Exception as failure:  # the case could not run
            world.write_record(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
            return 2
        finally:
            await world.stop()
        verdict = f"broken: {broken}" if broken else "the rule held"
        world.write_record(verdict)
        print(verdict)
        return 1 if broken else 0

    return asyncio.run(play())
