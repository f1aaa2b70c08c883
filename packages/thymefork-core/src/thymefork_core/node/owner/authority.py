"""Ownership: renew, take, claim, hand over, and stop when fenced."""

from thymefork_core.ledger import Claim, Handover, Held, Renew, Resign, Start, Take
from thymefork_core.log import Stream
from thymefork_core.ownership import balanced_owners, preferred_owner
from thymefork_core.reasons import Retry

from ..effects import Level

__all__ = ["Authority"]


class Authority:
    """Decide which workers this instance takes, claims and hands over."""

    def __init__(self, *, context):
        self.ctx = context
        self._renew_due_mono_ms = 0
        self._wanted_since = {}
        self._settle_until_mono_ms = {}
        self._held_told = {}
        self._handing_over = set()
        self._generation = 0
        self._wanted_for = None
        self._wanted = {}
        self._resigned = False

    def tick(self):
        """Do what is due; nothing while the log is down or not caught up."""
        ctx = self.ctx
        if ctx.log_is_down or not ctx.caught_up.get(Stream.HALL):
            self._wanted_since.clear()
            return
        self._claim_silent()
        if ctx.file is not None and not ctx.leaving:
            self._take_unowned()
        self._balance()
        self._hand_over_drained()
        self._tell_held()
        self._resign()
        self._renew()

    def on_own_record(self, began_mono_ms):
        """Extend the lease once an own record is read back in the log's order."""
        self.ctx.lease.acknowledged(began_mono_ms)

    def on_claimed(self):
        """Stop being the owner: another instance claimed everything."""
        ctx = self.ctx
        old = ctx.incarnation
        ctx.fenced_incarnations.append(old)
        self._generation += 1
        ctx.incarnation = f"{old.split('+')[0]}+{self._generation}"
        ctx.lease.deadline_mono_ms = 0
        for queue in ctx.queues.values():
            queue.author = ctx.incarnation
        ctx.queues[Stream.HALL].withdraw(lambda entry: True)
        self._renew_due_mono_ms = 0
        self._held_told.clear()
        self._handing_over.clear()
        ctx.note(
            "fenced: workers were claimed",
            step="claim",
            subject=old,
            level=Level.WARNING,
        )

    def _renew(self):
        ctx = self.ctx
        if ctx.now.mono_ms < self._renew_due_mono_ms:
            return
        self._renew_due_mono_ms = ctx.now.mono_ms + ctx.limits.renew_every_ms
        queue = ctx.queues[Stream.HALL]
        if not queue.pending and not queue.in_flight:
            ctx.record(Renew())

    def _candidates(self):
        """Return live instances of this hall by name, with their incarnations."""
        ctx = self.ctx
        live = {
            member.name: member.incarnation
            for member in ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
            if member.name != ctx.name
        }
        if not ctx.leaving:
            live[ctx.name] = ctx.incarnation
        return live

    def _wanted_owners(self, live):
        """Return which live instance should own each worker of the hall."""
        ctx = self.ctx
        if ctx.file is None:
            return {}
        key = (ctx.config.version, tuple(sorted(live)))
        if self._wanted_for != key:
            self._wanted_for = key
            names = [w.name for w in ctx.file.workers if w.hall == ctx.hall]
            self._wanted = balanced_owners(names, live)
        return self._wanted

    def _take_unowned(self):
        ctx = self.ctx
        for worker, owner in self._wanted_owners(self._candidates()).items():
            if owner != ctx.name or worker in ctx.ledger.state.owners:
                continue
            if ctx.members.worker_is_gone(worker):
                continue
            if self._lasted(("take", worker), ctx.limits.lease_ms):
                self._record_once(Take(worker=worker))

    def _claim_silent(self):
        ctx = self.ctx
        owners = set(ctx.ledger.state.owners.values()) | self._homes()
        for victim in owners - {ctx.incarnation}:
            if not ctx.silence.may_claim(victim, ctx.now.mono_ms):
                continue
            if victim in ctx.ledger.state.successors:
                continue
            first = preferred_owner(victim, self._candidates()) == ctx.name
            if ctx.leaving or not (first or self._lasted(("claim", victim), 1000)):
                continue
            seen = ctx.ledger.state.last_seen.get(victim, -1)
            self._record_once(Claim(victim=victim, seen_offset=seen))

    def _homes(self):
        ctx = self.ctx
        return {ctx.ledger.home_of(home) for home in ctx.accepted.homes(ctx.hall)}

    def _balance(self):
        """Drain workers that another live instance should own."""
        ctx = self.ctx
        wanted = self._wanted_owners(self._candidates())
        for view in ctx.book.views.values():
            owner = wanted.get(view.name)
            moves = owner is not None and owner != ctx.name
            if ctx.leaving or view.name in self._handing_over:
                view.draining = True
            elif moves and view.verified:
                settled = self._lasted(("move", view.name, owner), ctx.limits.settle_ms)
                view.draining = settled
            else:
                view.draining = False

    def _hand_over_drained(self):
        ctx = self.ctx
        live = self._candidates()
        wanted = self._wanted_owners(live)
        live.pop(ctx.name, None)
        if not ctx.may_send():
            return
        for view in list(ctx.book.views.values()):
            if not view.draining or view.lookups or self._start_pending(view.name):
                continue
            heir = wanted.get(view.name)
            if heir not in live:
                continue
            entry = Handover(
                worker=view.name, to=live[heir], held_connections=view.streams
            )
            if view.name not in self._handing_over:
                self._handing_over.add(view.name)
                ctx.record(entry)

    def forget_worker(self, worker):
        """Forget the hand-over of a worker that is no longer owned."""
        self._handing_over.discard(worker)

    def _start_pending(self, worker):
        queue = self.ctx.queues[Stream.HALL]
        return queue.holds(lambda e: isinstance(e, Start) and e.worker == worker)

    def _tell_held(self):
        """Tell the new owner as streams at a handed-over worker end."""
        ctx = self.ctx
        for worker, held in ctx.ledger.state.held.items():
            mine = held.get(ctx.incarnation)
            if mine is None or ctx.owns(worker):
                continue
            now_held = self.streams_held(worker)
            if now_held != mine and self._held_told.get(worker) != now_held:
                self._held_told[worker] = now_held
                ctx.record(Held(worker=worker, connections=now_held))

    def streams_held(self, worker):
        """Return how many streams are open at a worker; set by the router."""
        return 0

    def _resign(self):
        ctx = self.ctx
        if not ctx.leaving or self._resigned:
            return
        live = self._candidates()
        heir = preferred_owner(ctx.incarnation, live)
        if heir is not None and not ctx.queues[Stream.ACCEPTED].in_flight:
            self._resigned = True
            ctx.record(Resign(to=live[heir]))

    def _record_once(self, entry):
        same = type(entry)
        key = getattr(entry, "worker", None) or getattr(entry, "victim", None)
        if isinstance(entry, Claim):
            pending = self.ctx.queues[Stream.HALL].holds(
                lambda e: isinstance(e, Claim) and e.victim == key
            )
        else:
            pending = self.ctx.queues[Stream.HALL].holds(
                lambda e: isinstance(e, same) and e.worker == key
            )
        if not pending:
            self.ctx.record(entry)

    def _lasted(self, key, span_ms):
        """Tell whether a condition has been seen for a time."""
        mono_ms = self.ctx.now.mono_ms
        since_ms = self._wanted_since.setdefault(key, mono_ms)
        if mono_ms - since_ms < span_ms:
            return False
        del self._wanted_since[key]
        return True

    def claim_failed(self, entry):
        """Count a claim that came too late or against a living owner."""
        self.ctx.count(Retry.CLAIM_VOID)
        self.ctx.silence.heard_in_log(entry.victim, self.ctx.now.mono_ms)
