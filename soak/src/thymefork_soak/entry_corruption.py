"""Invalid values among the workers' entries in the store."""

import asyncio

__all__ = ["EntryCorrupter"]

# An entry like those of the workers.
SOUND_VALUE = (
    '{"service": "svc", "address": "127.0.0.1:9", "zone": "hall-1", "state": "ready",'
    ' "capacity": {"cpu": 8000, "mem_mb": 64000}, "labels": ["a", "r1-1"]}'
)
# Written over a worker's entry or under a separate key.
VALUES = (
    "\x00\x01",
    "[]",
    "{}",
    '{"service": 7}',
    '{"service": "svc", "address": "127.0.0.1", "state": "ready"}',
    '{"service": "svc", "address": ":1", "zone": "z", "state": "resting",'
    ' "capacity": {"cpu": "many"}}',
)
# Keys under which no worker can be called: one of the longest, and one that is no text.
UNUSABLE_KEYS = (b"agents." + b"k" * 248, b"agent-\xe9-17")


class EntryCorrupter:
    """Write invalid worker entries into the store."""

    def __init__(self, *, fleet, random, workers):
        self._fleet = fleet
        self._random = random
        self._workers = workers

    async def run(self, until_s, now):
        """Corrupt entries until the given time; workers rewrite theirs."""
        while now() < until_s:
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
            notice = {"value": self._random.choice(VALUES)}
            if self._random.random() < 0.7:
                notice["worker"] = self._random.randrange(self._workers)
            elif self._random.random() < 0.5:
                notice["key"] = "i-of-another"
            else:
                key = self._random.choice(UNUSABLE_KEYS)
                notice = {"key": key.decode("latin-1"), "value": SOUND_VALUE}
            await self._fleet.control("spoil", notice)
