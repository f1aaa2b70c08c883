"""Encode and decode the stored policies of queues and accounts."""

import orjson
import xxhash

from ..specs import AccountPolicy, AdvicePolicy, QueuePolicy, ResourceLimit

__all__ = [
    "ACCOUNT_POLICY_KEY",
    "QUEUE_POLICY_KEY",
    "decode_account_policy",
    "decode_queue_policy",
    "encode_account_policy",
    "encode_queue_policy",
    "policy_key",
]

QUEUE_POLICY_KEY = "q"
ACCOUNT_POLICY_KEY = "a"


def policy_key(kind, name):
    """Return the key of a policy's record; names may be longer than keys."""
    return kind + xxhash.xxh3_64_hexdigest(name.encode())


def encode_queue_policy(policy):
    """Return what a queue's policy says about accepted jobs."""
    advice = policy.advice
    row = advice and [advice.decision_ms, advice.per_worker_ms, advice.valid_ms]
    return orjson.dumps(
        [
            policy.name,
            policy.service,
            policy.priority,
            policy.max_attempts,
            policy.stretch,
            policy.target_latency_ms,
            row,
        ]
    )


def decode_queue_policy(data):
    """Return a stored policy; no request is routed by it."""
    name, service, priority, max_attempts, stretch, target_latency_ms, row = (
        orjson.loads(data)
    )
    advice = row and AdvicePolicy(
        decision_ms=row[0], per_worker_ms=row[1], valid_ms=row[2]
    )
    return QueuePolicy(
        name=name,
        host="",
        path_prefix="",
        service=service,
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
        target_latency_ms=target_latency_ms,
        advice=advice,
    )


def encode_account_policy(policy):
    """Return what an account's policy says about accepted jobs."""
    limit = policy.limit
    return orjson.dumps(
        [
            policy.name,
            policy.weight,
            limit.cpu_milli,
            limit.memory_mb,
            limit.accelerators,
        ]
    )


def decode_account_policy(data):
    """Return a stored policy; no key belongs to it."""
    name, weight, cpu_milli, memory_mb, accelerators = orjson.loads(data)
    return AccountPolicy(
        name=name,
        weight=weight,
        limit=ResourceLimit(
            cpu_milli=cpu_milli, memory_mb=memory_mb, accelerators=accelerators
        ),
    )
