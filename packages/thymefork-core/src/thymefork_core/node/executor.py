"""The owner's side of attempts: record, send, follow, confirm the end."""

from attrs import Factory, define, evolve

from thymefork_core.batch import TaskKey, choose_worker
from thymefork_core.capacity import WorkerView
from thymefork_core.ledger import Claim, End, Ending, Start
from thymefork_core.model import Resources
from thymefork_core.reasons import Retry

from .effects import CloseIdle, PollWorker, SendStarts, SendStops, StartOrder

__all__ = ["Executor"]


@define(kw_only=True)
class _Hold:
    """Room reserved for a request of a home."""

    spec: object
    items: tuple
    places: dict
    until_ms: int


@define(kw_only=True)
class _Tracked:
    """What the owner knows of an attempt beyond the log.

    Units: `gone_after_ms` and `started_at_ms` are on the worker's clock.
    """

    sent: bool = False
    started_at_ms: int | None = None
    gone_after_ms: int | None = None
    ending: bool = False
    preempted: bool = False


@define(kw_only=True)
class _Outbox:
    """Starts and stops that wait for the end of this turn."""

    starts: dict = Factory(dict)
    stops: dict = Factory(dict)


class Executor:
    """Start, follow and stop attempts on owned workers."""

    def __init__(self, *, context):
        self.ctx = context
        self.holds = {}
        self.tracked = {}
        self.specs = {}
        self._foreign = {}
        self._acquired_at_ms = {}
        self._polling = {}
        self._poll_not_before = {}
        self._poll_failures = {}
        self._forget = {}
        self._outbox = _Outbox()

    # Ownership -----------------------------------------------------------

    def on_moved(self, moved, by):
        """Follow a change of a worker's owner."""
        ctx = self.ctx
        if moved.before == ctx.incarnation or moved.worker in ctx.book.views:
            self.drop_worker(moved.worker)
        if moved.after == ctx.incarnation:
            self._acquire(moved.worker, claimed=isinstance(by, Claim))

    def drop_worker(self, worker):
        """Forget a worker that another instance owns now."""
        self.ctx.book.remove(worker)
        self.ctx.emit(CloseIdle(worker=worker))
        self._foreign.pop(worker, None)
        self._forget.pop(worker, None)
        for place_id, hold in list(self.holds.items()):
            if worker in hold.places.values():
                self.release(place_id)

    def drop_all(self):
        """Forget all workers, after a claim or when fenced."""
        for worker in list(self.ctx.book.views):
            self.drop_worker(worker)
        self.tracked.clear()

    def ensure_views(self):
        """Make views for workers that are owned but were not declared before."""
        for worker in self.ctx.ledger.owned_by(self.ctx.incarnation):
            if self.ctx.book.get(worker) is None:
                self._acquire(worker, claimed=True)

    def _acquire(self, worker, *, claimed):
        ctx = self.ctx
        decl = ctx.file.worker(worker) if ctx.file else None
        if decl is None:
            return
        services = ctx.file.services
        view = WorkerView(
            name=worker,
            rack=decl.rack,
            total=decl.resources,
            slots=min((s.slots for s in services), default=0),
            connections=min((s.connections for s in services), default=0),
            epoch=ctx.ledger.state.epochs.get(worker, 0),
        )
        view.held_connections = ctx.ledger.held_elsewhere(worker, ctx.incarnation)
        ctx.book.add(view)
        self._acquired_at_ms[worker] = ctx.now.wall_ms
        if claimed:
            self._foreign[worker] = None
        limits = ctx.limits
        gone_after_ms = ctx.now.wall_ms + limits.attempt_lease_ms + limits.clock_skew_ms
        for attempt in ctx.ledger.open_attempts(worker):
            key = TaskKey(attempt.work_id, attempt.task)
            ctx.book.take(worker, key, attempt.resources)
            self.tracked[attempt.attempt_id] = _Tracked(
                sent=True, gone_after_ms=gone_after_ms
            )
        self._polling.pop(worker, None)
        self._poll(worker)

    # Placement -----------------------------------------------------------

    def place(self, place_id, spec, items, *, hold, until_ms):
        """Reserve room for tasks; start them at once unless held."""
        granted, places = [], {}
        for item in items:
            worker = self._reserve(spec, item)
            if worker is not None:
                granted.append(item.task)
                places[item.task] = worker
            elif hold:
                break
        if hold and len(granted) < len(items):
            self._give_back(spec.work_id, places)
            return []
        kept = tuple(item for item in items if item.task in places)
        self.holds[place_id] = _Hold(
            spec=spec, items=kept, places=places, until_ms=until_ms
        )
        if not hold:
            self.commit(place_id)
        return granted

    def _reserve(self, spec, item):
        ctx = self.ctx
        if not ctx.may_send() or ctx.log_is_down or ctx.leaving:
            return None
        key = TaskKey(spec.work_id, item.task)
        if ctx.book.holds(key):
            return None
        policy = ctx.file.policy(spec.kind)
        view = choose_worker(ctx.book, spec.resources, policy, ctx.now.wall_ms)
        if view is None:
            return None
        ctx.book.take(view.name, key, spec.resources)
        view.health.started()
        return view.name

    def commit(self, place_id):
        """Write the start records of what was reserved."""
        hold = self.holds.pop(place_id, None)
        if hold is None:
            return False
        self.specs[hold.spec.work_id] = hold.spec
        for item in hold.items:
            self.ctx.record(
                Start(
                    work_id=hold.spec.work_id,
                    task=item.task,
                    attempt=item.attempt,
                    worker=hold.places[item.task],
                    resources=hold.spec.resources,
                    team=hold.spec.team,
                    at_most_once=hold.spec.at_most_once,
                )
            )
        return True

    def release(self, place_id):
        """Give reserved room back."""
        hold = self.holds.pop(place_id, None)
        if hold is not None:
            self._give_back(hold.spec.work_id, hold.places)

    def _give_back(self, work_id, places):
        for task, worker in places.items():
            self.ctx.book.give_back(worker, TaskKey(work_id, task))

    def withdraw_starts(self):
        """Take back starts that can't be recorded while the log is down."""
        queue = self.ctx.queues["hall"]
        for entry in queue.withdraw(lambda e: isinstance(e, Start)):
            key = TaskKey(entry.work_id, entry.task)
            self.ctx.book.give_back(entry.worker, key)

    # Verdicts ------------------------------------------------------------

    def on_start(self, verdict):
        """Send an own start that counts; give room back for one that does not."""
        ctx, entry = self.ctx, verdict.entry
        if verdict.author != ctx.incarnation:
            return
        key = TaskKey(entry.work_id, entry.task)
        if not verdict.valid:
            open_now = ctx.ledger.task(entry.work_id, entry.task).open
            if open_now is None or open_now.worker != entry.worker:
                ctx.book.give_back(entry.worker, key)
            ctx.count(Retry.START_VOID)
            return
        view = ctx.book.get(entry.worker)
        spec = self.specs.get(entry.work_id)
        attempt = verdict.attempt
        self.tracked[attempt.attempt_id] = _Tracked()
        reserved = view is not None and key in view.taken
        if not reserved or spec is None or not ctx.may_send():
            ctx.book.take(entry.worker, key, entry.resources)
            self._end(attempt, Ending.NOT_SENT)
            return
        self._outbox.starts.setdefault(entry.worker, []).append(
            StartOrder(
                attempt_id=attempt.attempt_id,
                cpu_milli=entry.resources.cpu_milli,
                memory_mb=entry.resources.memory_mb,
                accelerators=entry.resources.accelerators,
                run_ms=spec.run_ms,
                payload=spec.payload,
            )
        )

    def on_end(self, verdict):
        """Free what an attempt held, once its end is in the log."""
        attempt = verdict.attempt
        if not verdict.valid or attempt is None:
            return
        self.tracked.pop(attempt.attempt_id, None)
        if not self.ctx.ledger.task(attempt.work_id, attempt.task).open:
            key = TaskKey(attempt.work_id, attempt.task)
            self.ctx.book.give_back(attempt.worker, key)
        if self.ctx.owns(attempt.worker):
            self._forget.setdefault(attempt.worker, set()).add(attempt.attempt_id)

    def on_closed(self, work_id):
        """Stop what still runs of closed work."""
        for task in self.ctx.ledger.state.tasks.get(work_id, {}).values():
            if task.open and self.ctx.owns(task.open.worker):
                self.stop(task.open)

    def stop(self, attempt, *, preempt=False):
        """Ask the worker to stop an attempt; its report confirms it."""
        tracked = self.tracked.setdefault(attempt.attempt_id, _Tracked(sent=True))
        tracked.preempted = tracked.preempted or preempt
        self._outbox.stops.setdefault(attempt.worker, set()).add(attempt.attempt_id)

    # Worker's answers ----------------------------------------------------

    def on_starts_answered(self, message):
        """Note that starts were taken."""
        for attempt_id in message.attempt_ids:
            tracked = self.tracked.get(attempt_id)
            if tracked is not None:
                tracked.started_at_ms = message.started_at_ms
                tracked.gone_after_ms = None

    def on_starts_failed(self, message):
        """Undo starts that never left, and doubt those that may have."""
        ctx = self.ctx
        for attempt_id in message.attempt_ids:
            tracked = self.tracked.get(attempt_id)
            attempt = self._open(attempt_id)
            if attempt is None or tracked is None:
                continue
            if message.sent:
                limits = ctx.limits
                tracked.gone_after_ms = (
                    ctx.now.wall_ms + limits.attempt_lease_ms + limits.clock_skew_ms
                )
                ctx.count(Retry.START_UNCERTAIN)
            else:
                self._end(attempt, Ending.NOT_SENT)

    def on_report(self, report):
        """Take a worker's report: what runs, what ended, what is gone."""
        ctx = self.ctx
        self._polling.pop(report.worker, None)
        self._poll_failures.pop(report.worker, None)
        view = ctx.book.get(report.worker)
        if view is None:
            return
        view.reachable = True
        view.leaving = report.leaving or ctx.members.worker_is_leaving(report.worker)
        self._verify(view, report)
        finished = {ended.attempt_id: ended for ended in report.finished}
        for attempt in ctx.ledger.open_attempts(report.worker):
            self._follow(attempt, report, finished, view)
        self._stop_orphans(report)
        done = self._forget.setdefault(report.worker, set())
        for attempt_id in finished:
            if self._open(attempt_id) is None:
                done.add(attempt_id)
        done.intersection_update(finished)
        self._poll(report.worker)

    def on_poll_failed(self, worker):
        """Try again later; two failures in a row mark the worker unreachable."""
        self._polling.pop(worker, None)
        failures = self._poll_failures.get(worker, 0) + 1
        self._poll_failures[worker] = failures
        view = self.ctx.book.get(worker)
        if view is not None and failures >= 2:
            view.reachable = False
        self._poll_not_before[worker] = self.ctx.now.mono_ms + min(250 * failures, 2000)

    def _verify(self, view, report):
        ctx = self.ctx
        skew_ms = ctx.limits.clock_skew_ms
        fresh = report.measured_at_ms > self._acquired_at_ms[view.name] - skew_ms
        if view.name in self._foreign:
            before = self._foreign[view.name]
            counted = report.connections if before is None else before
            if before is not None:
                counted = min(before, report.connections)
            self._foreign[view.name] = counted
        if fresh:
            view.verified = True
        self.refresh_held(view.name)

    def refresh_held(self, worker):
        """Count the connections that others still hold at a worker."""
        view = self.ctx.book.get(worker)
        if view is None:
            return
        told = self.ctx.ledger.held_elsewhere(worker, self.ctx.incarnation)
        view.held_connections = max(told, self._foreign.get(worker) or 0)

    def _follow(self, attempt, report, finished, view):
        tracked = self.tracked.get(attempt.attempt_id)
        if tracked is None or tracked.ending:
            return
        ended = finished.get(attempt.attempt_id)
        if ended is not None:
            self._ended(attempt, ended, tracked, view)
        elif attempt.attempt_id in report.running:
            tracked.gone_after_ms = None
            if tracked.started_at_ms is None:
                tracked.started_at_ms = report.measured_at_ms
        elif self._is_gone(tracked, report):
            self._end(attempt, Ending.LOST)

    def _is_gone(self, tracked, report):
        """Tell whether the worker says so after the attempt can't start any more."""
        if tracked.gone_after_ms is not None:
            return report.measured_at_ms > tracked.gone_after_ms
        started_ms = tracked.started_at_ms
        return started_ms is not None and report.measured_at_ms > started_ms

    def _ended(self, attempt, ended, tracked, view):
        if ended.stopped:
            preempted = tracked.preempted and not self._is_closed(attempt)
            self._end(attempt, Ending.PREEMPTED if preempted else Ending.STOPPED)
        elif ended.exit_code:
            if view.health.failed(attempt.work_id, self.ctx.now.wall_ms):
                self.ctx.note(
                    "worker in quarantine",
                    step="report",
                    peer=view.name,
                    warning=True,
                )
            self._end(attempt, Ending.FAILED, ended.exit_code)
        else:
            view.health.succeeded()
            self._end(attempt, Ending.DONE)

    def _is_closed(self, attempt):
        return attempt.work_id in self.ctx.ledger.state.closed

    def _end(self, attempt, ending, exit_code=0):
        self.tracked.setdefault(attempt.attempt_id, _Tracked()).ending = True
        self.ctx.record(
            End(
                work_id=attempt.work_id,
                task=attempt.task,
                attempt=attempt.attempt,
                ending=ending,
                exit_code=exit_code,
            )
        )

    def _stop_orphans(self, report):
        """Stop what runs without an open attempt in the log, and closed work."""
        for attempt_id in report.running:
            attempt = self._open(attempt_id)
            if attempt is None or self._is_closed(attempt):
                self._outbox.stops.setdefault(report.worker, set()).add(attempt_id)

    def _open(self, attempt_id):
        work_id, task, attempt = attempt_id.rsplit("/", 2)
        found = self.ctx.ledger.task(work_id, int(task)).open
        return found if found and found.attempt == int(attempt) else None

    # Time ----------------------------------------------------------------

    def tick(self):
        """Poll workers, and give up holds whose deadline has passed."""
        ctx = self.ctx
        self.ensure_views()
        for place_id, hold in list(self.holds.items()):
            if ctx.now.wall_ms > hold.until_ms:
                self.release(place_id)
        for worker, view in list(ctx.book.views.items()):
            if ctx.members.worker_is_leaving(worker):
                view.leaving = True
            if ctx.members.worker_is_gone(worker):
                self._end_all_on_gone(worker)
            self._poll(worker)

    def _end_all_on_gone(self, worker):
        """End attempts of a worker that the platform has removed."""
        for attempt in self.ctx.ledger.open_attempts(worker):
            tracked = self.tracked.get(attempt.attempt_id)
            if tracked is None or tracked.ending:
                continue
            if tracked.gone_after_ms is None:
                limits = self.ctx.limits
                tracked.gone_after_ms = self.ctx.now.wall_ms + limits.attempt_lease_ms
            elif self.ctx.now.wall_ms > tracked.gone_after_ms:
                self._end(attempt, Ending.LOST)

    def _poll(self, worker):
        ctx = self.ctx
        view = ctx.book.get(worker)
        if view is None or worker in self._polling or not ctx.may_send():
            return
        if ctx.now.mono_ms < self._poll_not_before.get(worker, 0):
            return
        self._polling[worker] = True
        wait_ms = ctx.limits.poll_wait_ms if view.verified else 0
        ctx.emit(
            PollWorker(
                worker=worker,
                epoch=view.epoch,
                lease_until_ms=ctx.now.wall_ms + ctx.limits.attempt_lease_ms,
                forget=tuple(sorted(self._forget.get(worker, ()))),
                wait_ms=wait_ms,
            )
        )

    def flush(self):
        """Send the starts and stops of this turn, a call a worker."""
        ctx = self.ctx
        starts, stops = self._outbox.starts, self._outbox.stops
        self._outbox = _Outbox()
        for worker, orders in starts.items():
            self._send_starts(worker, orders)
        for worker, attempt_ids in stops.items():
            view = ctx.book.get(worker)
            if view is None or not ctx.may_send():
                continue
            checkpoint = any(self._is_preempted(a) for a in attempt_ids)
            ctx.emit(
                SendStops(
                    worker=worker,
                    epoch=view.epoch,
                    attempt_ids=tuple(sorted(attempt_ids)),
                    checkpoint=checkpoint,
                )
            )

    def _is_preempted(self, attempt_id):
        tracked = self.tracked.get(attempt_id)
        return tracked is not None and tracked.preempted

    def _send_starts(self, worker, orders):
        ctx = self.ctx
        for order in orders:
            self.tracked[order.attempt_id].sent = True
        ctx.emit(
            SendStarts(
                worker=worker,
                epoch=ctx.book.get(worker).epoch,
                orders=tuple(orders),
                lease_until_ms=ctx.now.wall_ms + ctx.limits.attempt_lease_ms,
                send_before_mono_ms=ctx.send_before_mono_ms,
            )
        )

    def learned(self, spec, peak_memory_mb):
        """Return the spec with the memory that its team's tasks really used."""
        if peak_memory_mb <= spec.resources.memory_mb:
            return spec
        resources = Resources(
            cpu_milli=spec.resources.cpu_milli,
            memory_mb=peak_memory_mb,
            accelerators=spec.resources.accelerators,
        )
        return evolve(spec, resources=resources)
