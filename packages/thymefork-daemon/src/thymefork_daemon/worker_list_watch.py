"""The platform's list of workers, for instances that own a cell."""

from attrs import evolve
from loguru import logger

from thymefork_cells import WORKER_LIST_MAX_AGE_MS
from thymefork_core.exceptions import ProtocolError
from thymefork_machines import decode_worker
from thymefork_net import steady_ms

from .change_notifier import ChangeNotifier

__all__ = ["WorkerListWatch"]

TOPIC = "keyed.servers"
# Workers rewrite their entries all the time, so the list is read at this period: a
# draining worker is known well within the 2 s in which it may still be given work.
PERIOD_MS = 400.0
# Without an answer for this long, entries may have lapsed while the store was away.
AWAY_MS = 1_000.0
# Once it is too old to start work by, the list is read at this period, so that what
# waits for the store's return starts up to 0.25 s sooner.
STALE_PERIOD_MS = 150.0
# Workers that live are listed again within about two seconds of the store's return;
# until then, and a reading later, a lapsed entry says nothing.
RETURN_MS = 2_000.0 + PERIOD_MS


class WorkerListWatch:
    """Follow the list while it is wanted.

    `on_unreadable` is called for each record that is no worker's entry. `as_of_ms` is
    when the last reading that was answered had been sent: what the list says held then,
    however much later a paused process reads the answer.
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
        self._returned_until_ms = 0.0
        self.as_of_ms = 0.0
        self._listed = {}
        self._kept = {}

    def set_wanted(self, wanted):
        """Begin or end following."""
        self._wanted = wanted
        if wanted and not self._running:
            self._running = True
            self.is_complete = False
            self._answered_ms = steady_ms()
            self._read_newest({}, "", None)

    def _again(self, action):
        if self._wanted:
            is_stale = steady_ms() - self.as_of_ms > WORKER_LIST_MAX_AGE_MS
            period_ms = STALE_PERIOD_MS if is_stale else PERIOD_MS
            self._timers.after(period_ms, action)
        else:
            self._running = False

    def _note_answer(self, sent_ms):
        """Note that the store answers; after an outage, let workers come back."""
        self.as_of_ms = sent_ms
        now_ms = steady_ms()
        if now_ms - self._answered_ms > AWAY_MS and self._listed:
            self._returned_until_ms = now_ms + RETURN_MS
            line = logger.bind(event="workers_may_return", workers=len(self._listed))
            line.info("entries may have lapsed while the store was away")
            self._timers.after(RETURN_MS, self._drop_kept)
        self._answered_ms = now_ms

    def _settle(self, before):
        """Publish the list; keep what vanished while workers may still come back."""
        if steady_ms() < self._returned_until_ms:
            gone = before.keys() - self._listed.keys()
            self._kept.update({key: _lapsed(before[key]) for key in gone})
        machines = {entry.machine_id for entry in self._listed.values()}
        self._kept = {
            worker_id: entry
            for worker_id, entry in self._kept.items()
            if worker_id not in self._listed and entry.machine_id not in machines
        }
        self._publish()

    def _drop_kept(self):
        """Take the workers for gone that did not come back."""
        if steady_ms() < self._returned_until_ms or not self._kept:
            return
        line = logger.bind(event="workers_not_back", workers=sorted(self._kept))
        line.info("these are taken for gone")
        self._kept = {}
        self._publish()

    def _publish(self):
        entries = self._kept | self._listed
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
            self._again(lambda: self._read_newest({}, "", None))
            return
        self._note_answer(sent_ms)
        # Later pages may miss changes made since the first: follow from its end.
        offset = result.end_offset if offset is None else offset
        for record in result.records:
            self._take(found, record)
        if result.next_key:
            self._read_newest(found, result.next_key, offset)
            return
        before, self._listed = self._listed, found
        self.is_complete = True
        self._again(lambda: self._follow(offset))
        self._settle(before)

    def _follow(self, offset):
        sent_ms = steady_ms()
        self._store.read(
            topic=TOPIC,
            offset=offset,
            on_result=lambda result: self._on_read(result, offset, sent_ms),
        )

    def _on_read(self, result, offset, sent_ms):
        if result is None:
            self._again(lambda: self._follow(offset))
            return
        if result.history_gone:
            self._read_newest({}, "", None)
            return
        self._note_answer(sent_ms)
        before = dict(self._listed)
        for record in result.records:
            self._take(self._listed, record)
        self._again(lambda: self._follow(result.next_offset))
        self._settle(before)

    def _take(self, entries, record):
        """Take a record; what others wrote names no worker until it is written over.

        Nothing new starts there then; what runs is looked at as on any worker that is
        not listed just now.
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


def _lapsed(entry):
    """Return an entry of which it is not known whether it still holds."""
    return evolve(entry, is_lapsed=True)
