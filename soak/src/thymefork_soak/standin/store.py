"""Simulated store that implements the platform's protocol."""

import base64
import struct
from urllib.parse import parse_qs

import orjson

from thymefork_net import steady_ms

from .faulty_server import FaultyServer
from .log import Group, Partition

__all__ = ["Store"]

APPEND_MS = 4.0
PARTITION_COUNT = 8
_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")


class Store:
    """Keep topics in memory and serve the platform's log API."""

    def __init__(self, *, loop, host, port, seed):
        self._loop = loop
        self._topics = {}
        self._groups = {}
        self.faulty_server = FaultyServer(
            loop=loop, host=host, port=port, handle=self._on_call, seed=seed
        )

    def partition(self, topic, part=0):
        """Return a partition, created on first use."""
        return self._topics.setdefault((topic, part), Partition())

    def put(self, topic, key, document):
        """Write a record; None deletes the key."""
        self.put_raw(topic, key, orjson.dumps(document) if document else b"")

    def put_raw(self, topic, key, value):
        """Write raw bytes under a key."""
        partition = self.partition(topic)
        partition.put(key, value)
        self._answer_waiters(partition)

    def begin_outage(self, faults, expiring_topic):
        """Become unavailable and expire a topic's entries without waking readers."""
        self.faulty_server.outage = faults
        partition = self.partition(expiring_topic)
        for key in list(partition.newest):
            partition.put(key, b"")

    def end_outage(self, expired_topic):
        """Become available and wake the readers of the expired topic."""
        self.faulty_server.outage = None
        self._answer_waiters(self.partition(expired_topic))

    def _on_call(self, request, answer):
        query = {name: rows[0] for name, rows in parse_qs(request.query).items()}
        getattr(self, "_" + request.path.strip("/").replace("-", "_"))(
            request, query, answer
        )

    def _log_append(self, request, query, answer):
        partition = self.partition(query["topic"], int(query["part"]))
        records = _decode(request.body)

        def finish():
            end = len(partition.records)
            if "at_rev" in query and int(query["at_rev"]) != end:
                answer(412, {"end_offset": end})
                return
            refusal = partition.append(
                records,
                query.get("producer_id", ""),
                int(query.get("epoch", 0)),
                int(query.get("seq", 0)),
            )
            if refusal is not None:
                answer(409, refusal)
                return
            self._answer_waiters(partition)
            answer(200, {"offset": end, "end_offset": len(partition.records)})

        self._loop.timers.after(APPEND_MS, finish)

    def _log_newest(self, request, query, answer):
        partition = self.partition(query["topic"], int(query["part"]))
        names = sorted(key for key in partition.newest if key > query.get("after", ""))
        rows = [
            {
                "tls_key": _key_bytes(key).decode(errors="replace"),
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in names[:500]
        ]
        document = {"items": rows, "truncated": len(names) > 500}
        answer(200, {**document, "end_offset": len(partition.records)})

    def _log_read(self, request, query, answer):
        partition = self.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset < len(partition.records) or not int(query.get("wait_ms", 0)):
            answer(200, raw=_encode(partition, offset))
            return
        waiter = (offset, answer)
        partition.waiters.append(waiter)
        self._loop.timers.after(
            int(query["wait_ms"]), lambda: self._answer_on_timeout(partition, waiter)
        )

    def _answer_on_timeout(self, partition, waiter):
        if waiter in partition.waiters:
            partition.waiters.remove(waiter)
            waiter[1](200, raw=_encode(partition, waiter[0]))

    def _answer_waiters(self, partition):
        waiters, partition.waiters = partition.waiters, []
        for offset, answer in waiters:
            answer(200, raw=_encode(partition, offset))

    def _group(self, name):
        return self._groups.setdefault(name, Group(partition_count=PARTITION_COUNT))

    def _log_join(self, request, query, answer):
        body = orjson.loads(request.body)
        group = self._group(body["group"])
        parts = group.join(
            body["member_id"], body["ttl_ms"], body["generation"], steady_ms()
        )
        rows = [[body["topics"][0], part, 0] for part in parts]
        answer(200, {"generation": group.generation, "parts": rows})

    def _log_leave(self, request, query, answer):
        body = orjson.loads(request.body)
        self._group(body["group"]).leave(body["member_id"])
        answer(200, {})

    def _log_owners(self, request, query, answer):
        group = self._group(query["group"])
        group.expire(steady_ms())
        rows = [["keyed.cells", part, owner, 0] for part, owner in group.owners.items()]
        answer(200, {"owners": [row for row in rows if row[2]]})


def _decode(body):
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        position += length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


def _key_bytes(key):
    """Return a key's bytes; those that are no text stand in it as lone surrogates."""
    return key.encode(errors="surrogateescape")


def _encode(partition, offset):
    parts = [_OFFSETS.pack(len(partition.records), 0)]
    for key, value in partition.records[offset:]:
        name = _key_bytes(key)
        content = bytes([len(name)]) + name + value
        parts.append(_LENGTH.pack(len(content)) + content)
    return b"".join(parts)
