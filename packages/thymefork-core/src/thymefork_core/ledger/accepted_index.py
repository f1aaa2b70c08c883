"""The fold of the accepted stream: the first record of a work id wins."""

from attrs import Factory, define, frozen

from thymefork_core.model import WorkKind, WorkSpec

from .entries import Accept

__all__ = ["AcceptedIndex", "AcceptedState", "AcceptedWork"]


@frozen(kw_only=True)
class AcceptedWork:
    """Hold accepted work, its hall and the instance that accepted it."""

    spec: WorkSpec
    hall: str
    home: str
    offset: int


@define(kw_only=True)
class AcceptedState:
    """Hold all accepted work whose id is still remembered."""

    next_offset: int = 0
    works: dict[str, AcceptedWork] = Factory(dict)


class AcceptedIndex:
    """Remember work ids for the window of the settings."""

    def __init__(self, *, window_ms, state=None):
        self.window_ms = window_ms
        self.restore(state or AcceptedState())

    def restore(self, state):
        """Take a state as it was checkpointed, and index its homes."""
        self.state = state
        self._homes = {}
        self._services = set()
        for work in state.works.values():
            self._index(work)

    def _index(self, work):
        self._homes.setdefault(work.hall, set()).add(work.home)
        if work.spec.kind is WorkKind.SERVICE:
            self._services.add(work.spec.work_id)

    def homes(self, hall):
        """Return the instances that accepted work in a hall."""
        return self._homes.get(hall, set())

    def apply(self, record):
        """Fold a record; return the works that it accepted first."""
        if record.offset < self.state.next_offset:
            return []
        self.state.next_offset = record.offset + 1
        return [
            self._accept(entry, record)
            for entry in record.entries
            if isinstance(entry, Accept) and entry.spec.work_id not in self.state.works
        ]

    def get(self, work_id):
        """Return accepted work by its id, or None."""
        return self.state.works.get(work_id)

    def services(self, prefix):
        """Return the remembered ids of services that begin with a prefix."""
        return [work_id for work_id in self._services if work_id.startswith(prefix)]

    def expired(self, now_ms, is_live):
        """Forget ids past the window, but for live work; return them."""
        horizon_ms = now_ms - 2 * self.window_ms
        gone = [
            work_id
            for work_id, work in self.state.works.items()
            if work.spec.submitted_at_ms < horizon_ms and not is_live(work_id)
        ]
        for work_id in gone:
            del self.state.works[work_id]
            self._services.discard(work_id)
        return gone

    def _accept(self, entry, record):
        work = AcceptedWork(
            spec=entry.spec,
            hall=entry.hall,
            home=record.author,
            offset=record.offset,
        )
        self.state.works[entry.spec.work_id] = work
        self._index(work)
        return work
