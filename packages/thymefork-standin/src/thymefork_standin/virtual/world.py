"""Nodes, log and workers joined on virtual time, with faults."""

import random
from functools import singledispatchmethod

import simpy

from thymefork_core.config import ConfigVersion
from thymefork_core.instant import Instant
from thymefork_core.log import Stream, stream_name
from thymefork_core.membership import InstanceEntry, WorkerEntry
from thymefork_core.model import Outcome
from thymefork_core.node import Limits, Node, effects as fx, messages as m

from .virtual_log import VirtualLog
from .virtual_worker import VirtualWorker

__all__ = ["World"]

EPOCH_MS = 1_000_000_000
TICK_MS = 100
READ_MS = 25
STREAMS = (Stream.HALL, Stream.ACCEPTED)


class World:
    """Carry effects between nodes, log and workers; break them on request."""

    def __init__(self, *, file, names, seed=0, limits=None, latency_ms=2):
        self.env = simpy.Environment()
        self.file = file
        self.limits = limits or Limits()
        self.rng = random.Random(seed)
        self.latency_ms = latency_ms
        self.log = VirtualLog()
        self.workers = {
            w.name: VirtualWorker(name=w.name, total=w.resources) for w in file.workers
        }
        self.deaf_workers = set()
        self.closed_workers = set()
        self.lose_starts = 0
        self.late_starts = []
        self.late_appends = []
        self.nodes = {}
        self.paused = {}
        self.cut = set()
        self.answers = {}
        self.doubles = []
        self.untrue = []
        self.lookups = {}
        self.take_ms = 0
        self.counts = {}
        self.messages = 0
        self._polls = {}
        self._positions = {}
        self._lives = {}
        for name in names:
            self.add(name)
        self.env.process(self._pass_worker_time())

    @property
    def now_ms(self):
        """Return the wall clock of all nodes."""
        return EPOCH_MS + int(self.env.now)

    def run(self, span_ms):
        """Let time pass."""
        self.env.run(until=self.env.now + span_ms)

    # Nodes -------------------------------------------------------------------

    def add(self, name):
        """Start an instance, in a new life if it ran before."""
        life = self._lives.get(name, 0) + 1
        self._lives[name] = life
        node = Node(
            name=name,
            hall=name.rsplit("-", 1)[0],
            incarnation=f"{name}~{life}",
            limits=self.limits,
            now=self._instant(),
        )
        node.ctx.config.current = ConfigVersion(
            version=1, base=0, author="test", record_id="v1", file=self.file
        )
        self.nodes[name] = node
        self.paused.pop(name, None)
        self._positions[name] = dict.fromkeys(STREAMS, 0)
        self._tell_list()
        self.tell(name, m.CheckpointRead(hall=None, accepted=None))
        self.env.process(self._tick(name, life))
        for stream in STREAMS:
            self.env.process(self._read(name, life, stream))
        return node

    def kill(self, name):
        """End an instance without a word."""
        self.nodes.pop(name, None)
        self.paused.pop(name, None)

    def pause(self, name, span_ms):
        """Freeze an instance; what comes for it waits."""
        if name in self.nodes and name not in self.paused:
            self.paused[name] = []
            self.env.process(self._resume(name, self._lives[name], span_ms))

    def _resume(self, name, life, span_ms):
        yield self.env.timeout(span_ms)
        if self._is(name, life) and name in self.paused:
            waiting = self.paused.pop(name)
            self.rng.shuffle(waiting)
            for message in waiting:
                self.tell(name, message)

    def _tell_list(self):
        instances = tuple(
            InstanceEntry(
                name=name,
                hall=name.rsplit("-", 1)[0],
                host="127.0.0.1",
                peer_port=1,
                http_port=1,
                state="live",
            )
            for name in self._lives
        )
        workers = tuple(
            WorkerEntry(
                name=w.name, hall=w.hall, host="127.0.0.1", port=1, state="live"
            )
            for w in self.file.workers
        )
        for name in self.nodes:
            self.tell(name, m.ListRead(instances=instances, workers=workers))

    def _is(self, name, life):
        return name in self.nodes and self._lives[name] == life

    def _instant(self):
        return Instant(wall_ms=self.now_ms, mono_ms=int(self.env.now))

    def tell(self, name, message):
        """Bring a message to a node and carry its effects out."""
        if name in self.paused:
            if not isinstance(message, m.Tick):
                self.paused[name].append(message)
            return
        node = self.nodes.get(name)
        if node is None:
            return
        for effect in node.handle(message, self._instant()):
            self._perform(effect, name)

    def after(self, delay_ms, function):
        """Call a function later."""

        def wait():
            yield self.env.timeout(delay_ms)
            function()

        self.env.process(wait())

    def _later(self, name, message):
        life = self._lives[name]

        def bring():
            if self._is(name, life):
                self.tell(name, message)

        self.after(self._delay(), bring)

    def _delay(self):
        return self.latency_ms + self.rng.random() * self.latency_ms

    def _tick(self, name, life):
        yield self.env.timeout(self.rng.random() * TICK_MS)
        while self._is(name, life):
            self.tell(name, m.Tick())
            yield self.env.timeout(TICK_MS)

    def _read(self, name, life, stream):
        hall = self.nodes[name].ctx.hall
        positions = self._positions[name]
        while self._is(name, life):
            began_ms = int(self.env.now)
            yield self.env.timeout(READ_MS)
            if name in self.paused:
                continue
            if name in self.log.out_for:
                self.tell(name, m.LogFailed())
                continue
            records = self.log.after(stream_name(stream, hall), positions[stream])
            positions[stream] += len(records)
            message = m.LogRead(
                stream=stream, records=records, began_mono_ms=began_ms, at_end=True
            )
            self._later(name, message)
            yield self.env.timeout(2 * self.latency_ms)

    # Effects -----------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, effect, name):
        """Ignore what has no fake."""

    @_perform.register
    def _append(self, effect: fx.Append, name):
        self.messages += 1
        stream, batch = effect.stream, effect.batch
        ids = {"stream": stream, "record_id": batch.record_id}
        if name in self.log.out_for:
            self._later(name, m.AppendRefused(**ids))
            return
        target = stream_name(stream, self.nodes[name].ctx.hall)
        lost = self.log.lose_answers > 0
        self.log.lose_answers -= lost

        def land():
            self.log.append(target, batch)
            kind = m.AppendLost if lost else m.AppendAcked
            if name in self.nodes:
                self._later(name, kind(**ids))

        if self.late_appends:
            self.after(self.late_appends.pop(), land)
            self._later(name, m.AppendLost(**ids))
        else:
            self.after(self._delay(), land)

    @_perform.register
    def _send_peer(self, effect: fx.SendPeer, name):
        self.messages += 1
        pair = frozenset((name, effect.peer))
        one_way = (name, effect.peer)
        if pair in self.cut or one_way in self.cut:
            return
        if effect.peer not in self.nodes:
            self._later(name, m.PeerRefused(peer=effect.peer))
        else:
            self._later(effect.peer, m.PeerHeard(peer=name, message=effect.message))

    @_perform.register
    def _starts(self, effect: fx.SendStarts, name):
        self.messages += 1
        worker = self.workers[effect.worker]
        ids = tuple(order.attempt_id for order in effect.orders)
        lost = self.lose_starts > 0
        self.lose_starts -= lost

        def arrive():
            if effect.worker in self.deaf_workers | self.closed_workers:
                failed = m.StartsFailed(
                    worker=effect.worker,
                    attempt_ids=ids,
                    sent=effect.worker in self.deaf_workers,
                )
                if name in self.nodes:
                    self._later(name, failed)
                return
            worker.start(effect.orders, effect.lease_until_ms, self.now_ms)
            self._check_copies()
            if worker.finished:
                self._answer_polls(effect.worker)
            message = m.StartsAnswered(
                worker=effect.worker, attempt_ids=ids, started_at_ms=self.now_ms
            )
            if lost:
                message = m.StartsFailed(
                    worker=effect.worker, attempt_ids=ids, sent=True
                )
            if name in self.nodes:
                self._later(name, message)

        if self.late_starts:
            self.after(self.late_starts.pop(), arrive)
            failed = m.StartsFailed(worker=effect.worker, attempt_ids=ids, sent=True)
            self._later(name, failed)
        else:
            self.after(self._delay(), arrive)

    @_perform.register
    def _stops(self, effect: fx.SendStops, name):
        self.messages += 1
        worker = self.workers[effect.worker]

        def arrive():
            if effect.worker not in self.deaf_workers:
                for attempt_id in effect.attempt_ids:
                    worker.end(attempt_id, stopped=True)
                self._answer_polls(effect.worker)

        self.after(self._delay(), arrive)

    @_perform.register
    def _throttle(self, effect: fx.SendThrottle, name):
        self.messages += 1
        worker = self.workers[effect.worker]

        def arrive():
            done = worker.throttle(effect.attempt_id, effect.cpu_milli, self.now_ms)
            message = m.Throttled(
                worker=effect.worker,
                attempt_id=effect.attempt_id,
                cpu_milli=effect.cpu_milli,
                done=done,
            )
            if name in self.nodes:
                self._later(name, message)

        self.after(self._delay(), arrive)

    @_perform.register
    def _poll(self, effect: fx.PollWorker, name):
        self.messages += 1
        worker = self.workers[effect.worker]

        def arrive():
            if effect.worker in self.deaf_workers:
                if name in self.nodes:
                    self._later(name, m.PollFailed(worker=effect.worker))
                return
            worker.lease_until_ms = max(worker.lease_until_ms, effect.lease_until_ms)
            for attempt_id in effect.forget:
                worker.finished.pop(attempt_id, None)
            until_ms = self.env.now + effect.wait_ms
            self._polls.setdefault(effect.worker, []).append((name, until_ms))
            if worker.finished or not effect.wait_ms:
                self._answer_polls(effect.worker)

        self.after(self._delay(), arrive)

    def _answer_polls(self, worker_name):
        for name, _ in self._polls.pop(worker_name, ()):
            if name in self.nodes:
                self._later(name, self.workers[worker_name].report(self.now_ms))

    def _pass_worker_time(self):
        while True:
            yield self.env.timeout(20)
            for name, worker in self.workers.items():
                due = any(
                    until <= self.env.now for _, until in self._polls.get(name, ())
                )
                if worker.pass_time(self.now_ms) or due:
                    self._answer_polls(name)

    def _check_copies(self):
        """Note every task that runs twice at this moment."""
        seen = set()
        for worker in self.workers.values():
            for attempt_id in worker.running:
                task = attempt_id.rsplit("/", 1)[0]
                if task in seen:
                    self.doubles.append((self.now_ms, attempt_id))
                seen.add(task)

    @_perform.register
    def _proxy(self, effect: fx.Proxy, name):
        self.messages += 1
        worker = self.workers[effect.worker]
        took_ms = self.take_ms or 1 + self.rng.random() * 8
        left_ms = effect.deadline_ms - self.now_ms

        def finish():
            worker.lookups -= 1

        def answer():
            in_time = took_ms <= left_ms
            ended = m.LookupEnded(
                request_id=effect.request_id,
                worker=effect.worker,
                status=200 if in_time else 0,
                body=effect.body,
                took_ms=took_ms,
                sent=True,
            )
            if name in self.nodes:
                self.tell(name, ended)

        def arrive():
            worker.lookups += 1
            worker.most_lookups = max(worker.most_lookups, worker.lookups)
            self.after(took_ms, finish)

        self.after(0, arrive)
        self.after(max(1, min(took_ms, left_ms)) + self._delay(), answer)

    @_perform.register
    def _exit(self, effect: fx.Exit, name):
        self.kill(name)

    @_perform.register
    def _reply(self, effect: fx.ReplyAnswers, name):
        for answer in effect.answers:
            self.answers.setdefault(answer.work_id, []).append(answer)
            early = self.starts_of(answer.work_id)
            if answer.outcome is Outcome.NOT_RUN and early:
                self.untrue.append((self.now_ms, answer, early))

    @_perform.register
    def _looked_up(self, effect: fx.ReplyLookup, name):
        self.lookups.setdefault(effect.request_id, []).append(effect)

    @_perform.register
    def _count(self, effect: fx.Count, name):
        self.counts[effect.reason] = self.counts.get(effect.reason, 0) + 1

    # Judgement ---------------------------------------------------------------

    def starts_of(self, work_id):
        """Return every start that any worker saw of a work."""
        return [
            attempt_id
            for worker in self.workers.values()
            for _, attempt_id in worker.starts
            if attempt_id.startswith(f"{work_id}/")
        ]

    def breaches(self):
        """Return what workers saw over their capacity."""
        return [b for worker in self.workers.values() for b in worker.breaches]
