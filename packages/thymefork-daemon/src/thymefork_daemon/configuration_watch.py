"""Watch on the operators' configuration in the store."""

from loguru import logger

from thymefork_core.exceptions import ConfigError
from thymefork_machines import decode_configuration
from thymefork_net import steady_ms

from .change_notifier import ChangeNotifier

__all__ = ["ConfigurationWatch"]

TOPIC = "keyed.op"
KEY = "config"
# Long poll; short enough that a connection broken by a network partition is noticed
# well before a change has to come into force (2 s).
POLL_TIMEOUT_MS = 1_000
RETRY_MS = 150.0


class ConfigurationWatch:
    """Follow the operators' topic; an older version never replaces a newer one.

    `readable_since_ms` is the time on the steady clock since which every read was
    answered, or None while the last read was not.
    """

    def __init__(self, *, store, timers, on_change):
        self.current = None
        self.readable_since_ms = None
        self._store = store
        self._timers = timers
        self._notifier = ChangeNotifier(listener=on_change)

    def start(self):
        """Read the newest records, then follow the topic."""
        self._read_newest()

    def _read_newest(self, after="", offset=None):
        """Read a page of the newest records; `offset` is the end at the first one."""
        self._store.newest(
            topic=TOPIC,
            after=after,
            on_result=lambda result: self._on_newest(result, offset),
        )

    def _on_newest(self, result, offset):
        self._record_answer(result is not None)
        if result is None:
            self._timers.after(RETRY_MS, self._read_newest)
            return
        self._apply(result.records)
        # Later pages may miss changes made since the first, so follow from its end.
        offset = result.end_offset if offset is None else offset
        if result.next_key:
            self._read_newest(result.next_key, offset)
            return
        if self.current is None:
            self._timers.after(RETRY_MS, self._read_newest)
            return
        self._follow(offset)
        self._notifier.notify(self.current)

    def _follow(self, offset):
        self._store.read(
            topic=TOPIC,
            offset=offset,
            wait_ms=POLL_TIMEOUT_MS,
            on_result=lambda result: self._on_read(result, offset),
        )

    def _on_read(self, result, offset):
        self._record_answer(result is not None)
        if result is None:
            self._timers.after(RETRY_MS, lambda: self._follow(offset))
        elif result.history_gone:
            logger.bind(event="history_gone", topic=TOPIC).info(
                "offset no longer available; reading the newest records"
            )
            self._read_newest()
        else:
            self._apply(result.records)
            self._follow(result.next_offset)
            self._notifier.notify(self.current)

    @property
    def is_readable(self):
        """Return whether the last read was answered."""
        return self.readable_since_ms is not None

    def _record_answer(self, answered):
        if not answered:
            self.readable_since_ms = None
        elif self.readable_since_ms is None:
            self.readable_since_ms = steady_ms()

    def _apply(self, records):
        for record in records:
            if record.key != KEY or not record.value:
                continue
            try:
                found = decode_configuration(record.value)
            except ConfigError as failure:
                logger.bind(event="configuration_unreadable").error(
                    "ignoring an invalid configuration: {}", failure
                )
                continue
            if self.current is not None and found.version <= self.current.version:
                continue
            self.current = found
            line = logger.bind(event="configuration_in_force", version=found.version)
            line.info("configuration now in force, with {} queues", len(found.queues))
            self._notifier.mark_changed()
