"""Watch on the platform's list of workers, for instances that own a cell."""

from attrs import evolve
from loguru import logger

from thymefork_cells import WORKER_LIST_MAX_AGE_MS
from thymefork_core.exceptions import ProtocolError
from thymefork_machines import decode_worker
from thymefork_net import steady_ms

from .change_notifier import ChangeNotifier

__all__ = ["WorkerListWatch"]

TOPIC = "keyed.servers"
# Workers rewrite their entries continuously, so the list is polled; the period bounds
# how long a draining worker may still be given work. It is well within the 2 s that
# are allowed for that.
PERIOD_MS = 400.0
# Entries may have lapsed in an outage of the store that is longer than this.
OUTAGE_MS = 1_000.0
# Shorter period once the list is too old to start work by, so that waiting tasks start
# up to 0.25 s sooner after the store recovers.
STALE_PERIOD_MS = 150.0
# Live workers are listed again within two seconds after the store recovers; until one
# more read, a lapsed entry does not mean that its worker is gone.
REREGISTRATION_MS = 2_000.0 + PERIOD_MS


class WorkerListWatch:
    """Follow the list while it is wanted.

    `on_unreadable` is called for each record that is not a worker's entry. `as_of_ms`
    is when the last answered read was sent: the entries are valid as of that time,
    however late a paused process handles the answer.
    """

    def __init__(self, *, store, timers, on_change, on_unreadable):
        self.entries = {}
        self.is_complete = False
        self._on_unreadable = on_unreadable
        self._store = store
        self._timers = timers
        self._notifier = ChangeNotifier(listener=on_change)
        self._wanted = False
        self._running = False
        self._answered_ms = steady_ms()
        self._reregistration_until_ms = 0.0
        self.as_of_ms = 0.0
        self._listed = {}
        self._lapsed_entries = {}

    def set_wanted(self, wanted):
        """Start or stop following the list."""
        self._wanted = wanted
        if wanted and not self._running:
            self._running = True
            self.is_complete = False
            self._answered_ms = steady_ms()
            self._read_newest({}, "", None)

    def _schedule(self, action):
        if self._wanted:
            is_stale = steady_ms() - self.as_of_ms > WORKER_LIST_MAX_AGE_MS
            period_ms = STALE_PERIOD_MS if is_stale else PERIOD_MS
            self._timers.after(period_ms, action)
        else:
            self._running = False

    def _record_answer(self, sent_ms):
        """Record that the store answers; after an outage, let workers re-register."""
        self.as_of_ms = sent_ms
        now_ms = steady_ms()
        if now_ms - self._answered_ms > OUTAGE_MS and self._listed:
            self._reregistration_until_ms = now_ms + REREGISTRATION_MS
            line = logger.bind(event="workers_may_return", workers=len(self._listed))
            line.info("entries may have lapsed while the store was unavailable")
            self._timers.after(REREGISTRATION_MS, self._drop_lapsed)
        self._answered_ms = now_ms

    def _update_entries(self, before):
        """Publish the list; keep vanished entries while workers may re-register."""
        if steady_ms() < self._reregistration_until_ms:
            gone = before.keys() - self._listed.keys()
            self._lapsed_entries.update(
                {key: _mark_lapsed(before[key]) for key in gone}
            )
        machines = {
            (entry.machine_id, entry.service) for entry in self._listed.values()
        }
        self._lapsed_entries = {
            worker_id: entry
            for worker_id, entry in self._lapsed_entries.items()
            if worker_id not in self._listed
            and (entry.machine_id, entry.service) not in machines
        }
        self._publish()

    def _drop_lapsed(self):
        """Drop the kept entries of workers that did not re-register."""
        if steady_ms() < self._reregistration_until_ms or not self._lapsed_entries:
            return
        line = logger.bind(
            event="workers_not_back", workers=sorted(self._lapsed_entries)
        )
        line.info("workers did not re-register after the outage; dropping them")
        self._lapsed_entries = {}
        self._publish()

    def _publish(self):
        entries = self._lapsed_entries | self._listed
        if entries != self.entries:
            self.entries = entries
            self._notifier.mark_changed()
        self._notifier.notify()

    def _read_newest(self, found, after, offset):
        sent_ms = steady_ms()
        self._store.newest(
            topic=TOPIC,
            after=after,
            on_result=lambda result: self._on_newest(result, found, offset, sent_ms),
        )

    def _on_newest(self, result, found, offset, sent_ms):
        if result is None:
            self._schedule(lambda: self._read_newest({}, "", None))
            return
        self._record_answer(sent_ms)
        # Later pages may miss changes made since the first, so follow from its end.
        offset = result.end_offset if offset is None else offset
        self._count_unreadable(result)
        for record in result.records:
            self._apply(found, record)
        if result.next_key:
            self._read_newest(found, result.next_key, offset)
            return
        before, self._listed = self._listed, found
        self.is_complete = True
        self._schedule(lambda: self._follow(offset))
        self._update_entries(before)

    def _follow(self, offset):
        sent_ms = steady_ms()
        self._store.read(
            topic=TOPIC,
            offset=offset,
            on_result=lambda result: self._on_read(result, offset, sent_ms),
        )

    def _on_read(self, result, offset, sent_ms):
        if result is None:
            self._schedule(lambda: self._follow(offset))
            return
        if result.history_gone:
            self._read_newest({}, "", None)
            return
        self._record_answer(sent_ms)
        before = dict(self._listed)
        self._count_unreadable(result)
        for record in result.records:
            self._apply(self._listed, record)
        self._schedule(lambda: self._follow(result.next_offset))
        self._update_entries(before)

    def _count_unreadable(self, result):
        for _ in range(result.unreadable):
            self._on_unreadable()

    def _apply(self, entries, record):
        """Apply a record; an invalid one removes the entry until it is rewritten.

        Nothing new starts on that worker; its runs are polled as on any unlisted one.
        """
        if not record.value:
            entries.pop(record.key, None)
            return
        try:
            entries[record.key] = decode_worker(record.key, record.value)
        except ProtocolError as failure:
            entries.pop(record.key, None)
            self._on_unreadable()
            logger.bind(event="worker_unreadable").warning("{}", failure)


def _mark_lapsed(entry):
    """Return a copy of an entry, marked as possibly outdated."""
    return evolve(entry, is_lapsed=True)
