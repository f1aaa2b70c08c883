"""The state that the roles of a node share."""

from collections.abc import Callable

from attrs import Factory, define

from thymefork_core.batch import choose_worker
from thymefork_core.capacity import WorkerBook
from thymefork_core.config import ConfigBook
from thymefork_core.instant import Instant
from thymefork_core.ledger import AcceptedIndex, HallLedger
from thymefork_core.log import AppendQueue, LogHealth, Stream
from thymefork_core.membership import Members
from thymefork_core.ownership import OwnerLease, SilenceWatch

from .effects import Count, Level, Note
from .limits import Limits

__all__ = ["Context"]


@define(kw_only=True, eq=False)
class Context:
    """Hold what all roles of one instance read, and the effects they ask for."""

    name: str
    hall: str
    incarnation: str
    limits: Limits
    now: Instant
    ledger: HallLedger
    accepted: AcceptedIndex
    members: Members
    silence: SilenceWatch
    lease: OwnerLease
    health: LogHealth
    queues: dict[Stream, AppendQueue]
    choose: Callable = choose_worker
    config: ConfigBook = Factory(ConfigBook)
    book: WorkerBook = Factory(WorkerBook)
    effects: list = Factory(list)
    caught_up: dict[Stream, bool] = Factory(dict)
    leaving: bool = False
    fenced_incarnations: list[str] = Factory(list)

    @property
    def file(self):
        """Return the operators' file in force, or None."""
        return self.config.current.file if self.config.current else None

    @property
    def log_is_down(self):
        """Tell whether the log can't be reached now."""
        return self.health.is_down(self.now.mono_ms)

    @property
    def is_ready(self):
        """Tell whether callers should be sent here.

        It has caught up, has a configuration, and has a worker of its own or hears
        an instance that may have one.
        """
        streams = (Stream.HALL, Stream.ACCEPTED)
        caught_up = all(self.caught_up.get(stream) for stream in streams)
        if not caught_up or self.file is None or self.leaving:
            return False
        has_worker = any(view.open_for_work for view in self.book.views.values())
        return has_worker or bool(self.members.live(self.now.mono_ms))

    @property
    def come_back_at_ms(self):
        """Return when a refused caller may try again."""
        return self.now.wall_ms + self.limits.come_back_after_ms

    def record(self, entry, stream=Stream.HALL):
        """Queue an entry for the log."""
        self.queues[stream].add(entry)

    def emit(self, effect):
        """Ask the daemon for an effect."""
        self.effects.append(effect)

    def count(self, reason):
        """Raise the counter of a reason."""
        self.emit(Count(reason=reason))

    def note(self, text, *, step, peer="", subject="", level=Level.INFO):
        """Write a structured log line."""
        self.emit(Note(text=text, step=step, peer=peer, subject=subject, level=level))

    def owns(self, worker):
        """Tell whether this instance owns a worker by the log."""
        return self.ledger.state.owners.get(worker) == self.incarnation

    @property
    def send_before_mono_ms(self):
        """Return until when a send that is allowed now may leave."""
        limits = self.limits
        return max(self.lease.deadline_mono_ms, self.now.mono_ms + limits.grace_ms // 2)

    def may_send(self):
        """Tell whether this instance may still act as an owner.

        Either the lease runs, or the log is down from here, every peer of the hall
        has heard this instance within the lease or is not running, and none knows
        of a claim: a peer does not claim from what it hears.
        """
        if self.lease.is_live(self.now.mono_ms):
            return True
        if not self.log_is_down or not self.lease.deadline_mono_ms:
            return False
        mono_ms = self.now.mono_ms
        peers = self.members.hall_peers()
        if not all(self.silence.cannot_claim(peer, mono_ms) for peer in peers):
            return False
        return not any(
            self.incarnation in member.fenced for member in self.members.heard.values()
        )
