"""A worker in virtual time, with leases, fences, run numbers and run ends."""

from collections.abc import Callable

from attrs import define, field

from thymefork_cells import CommandAnswer, EndRow, Refusal, RunRow, WorkerReport

# Maximum duration of a lease.
MAX_HOLD_MS = 10_000.0
# Clock value at the start of an incarnation.
FIRST_CLOCK_MS = 1.0
START_EPOCH_MS = 1_700_000_000_000.0


@define(kw_only=True, eq=False)
class VirtualRun:
    """Track one run; `ends_ms` is when its work will be done.

    `ended_ms` is None while it runs, `is_acknowledged` is set once its end was
    acknowledged. `stop_at_ms` is when an answered stop takes effect.
    """

    task: str
    run_id: int
    began_ms: float
    ends_ms: float
    how: str = "done"
    ended_ms: float | None = None
    is_acknowledged: bool = False
    stop_at_ms: float | None = None


@define(kw_only=True, eq=False, slots=False)
class VirtualWorker:
    """Run tasks for `work_ms`, or as long as `work_ms_of` says, times `slow_factor`.

    Once it `is_replaced`, another incarnation answers at its address. With
    `stalls_at_completion` its tasks stay at 100%, like those of a gang with slower
    members. Tasks for which `fails_task` returns true fail after `fail_after_ms`, and
    with `fails_all` all tasks do. The next `ignored_stops` stops are answered but not
    carried out; others take `stop_duration_ms`. Serving tasks have a latency tail of
    `tail_ms`. All its tasks save the same `checkpoint`. It lists its oldest ends only,
    `max_listed_ends` at once. `pace_percents` holds the pace
    of each run. `history` holds the runs of all incarnations, `lease_lapsed_ms` is when
    the lease last expired. Its clock runs at `clock_rate`.
    """

    worker_id: str
    work_ms: float = 800.0
    clock_offset_ms: float = 5_000.0
    clock_rate: float = 1.0
    born_epoch_ms: int = int(START_EPOCH_MS)
    history: list = field(factory=list)
    is_unreachable: bool = False
    is_replaced: bool = False
    fails_all: bool = False
    fails_task: Callable[[str], bool] = lambda task: False
    fail_after_ms: float = 50.0
    is_stalled: bool = False
    stalls_at_completion: bool = False
    ignored_stops: int = 0
    stop_duration_ms: float = 0.0
    tail_ms: int = 0
    checkpoint: str = ""
    max_listed_ends: int = 500
    pace_percents: dict = field(factory=dict)
    slow_factor: float = 1.0
    work_ms_of: dict = field(factory=dict)
    fence: int = 0
    lease_until_ms: float = 0.0
    running: dict = field(factory=dict)
    ended: list = field(factory=list)
    closed: dict = field(factory=dict)
    starts: list = field(factory=list)
    next_end: int = 1
    now_ms: float = 0.0
    lease_lapsed_ms: float = 0.0

    def clock(self, now_ms):
        return round(now_ms * self.clock_rate + self.clock_offset_ms)

    def end_incarnation(self, now_ms):
        """Lose all runs and state, and become unreachable."""
        self.advance(now_ms)
        for run in self.running.values():
            run.how, run.ended_ms = "gone", now_ms
        self.running.clear()
        self.is_unreachable = True

    def begin_incarnation(self, now_ms):
        """Start a new incarnation under the same id."""
        self.is_unreachable = False
        self.born_epoch_ms = max(self.born_epoch_ms + 1, int(START_EPOCH_MS + now_ms))
        self.clock_offset_ms = FIRST_CLOCK_MS - now_ms * self.clock_rate
        self.fence = 0
        self.lease_until_ms = 0.0
        self.closed.clear()
        self.ended.clear()
        self.next_end = 1

    def advance(self, now_ms):
        """End completed runs and, once the lease has expired, all others."""
        self.now_ms = now_ms
        for key, run in list(self.running.items()):
            in_time = run.ends_ms < self.lease_until_ms and not self.is_stalled
            in_time = in_time and not self.stalls_at_completion
            if run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                self._end(key, "stopped")
            elif in_time and now_ms >= run.ends_ms:
                self._end(key, run.how)
            elif now_ms >= self.lease_until_ms:
                self._end(key, "lapsed")

    def end(self, key, how):
        """End a run for an external reason."""
        self._end(key, how)

    def fail_running(self, now_ms):
        """Let all present runs fail now."""
        self.advance(now_ms)
        for key in list(self.running):
            self.running[key].ends_ms = now_ms
            self._end(key, "failed")

    def _end(self, key, how):
        run = self.running.pop(key)
        run.how = how
        run.ended_ms = self._ended_ms(run)
        self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
        self.ended.append(
            EndRow(
                number=self.next_end,
                task=key[0],
                run_id=key[1],
                how=how,
                checkpoint=self.checkpoint,
            )
        )
        self.next_end += 1

    def _ended_ms(self, run):
        """Return when a run ended, which may be before now."""
        if run.how == "lapsed":
            return min(self.now_ms, self.lease_until_ms)
        return min(self.now_ms, run.ends_ms)

    def start(self, task, run_id, fence, deadline_clock_ms, now_ms, *, has_ticket=True):
        self.advance(now_ms)
        refusal = self._refusal_of(task, run_id, fence, deadline_clock_ms, now_ms)
        if refusal is None and not has_ticket:
            refusal = Refusal.NO_TICKET
        if refusal is None:
            self._take_lease(deadline_clock_ms, now_ms)
            work_ms = self.work_ms_of.get(task, self.work_ms)
            span_ms = work_ms * self.slow_factor
            fails = self.fails_all or self.fails_task(task)
            run = VirtualRun(
                task=task,
                run_id=run_id,
                began_ms=now_ms,
                ends_ms=now_ms + (self.fail_after_ms if fails else span_ms),
                how="failed" if fails else "done",
            )
            self.running[task, run_id] = run
            self.history.append(run)
            self.pace_percents[task, run_id] = 100
            self.starts.append((task, run_id, now_ms))
            refusal = Refusal.NONE
        return CommandAnswer(refusal=refusal, clock_ms=self.clock(now_ms))

    def renew_lease(self, fence, deadline_clock_ms, now_ms):
        """Take the lease of a poll as it arrives; its answer may come much later."""
        self.advance(now_ms)
        if fence >= self.fence and deadline_clock_ms:
            self.fence = fence
            self._take_lease(deadline_clock_ms, now_ms)

    def _take_lease(self, deadline_clock_ms, now_ms):
        if now_ms > self.lease_until_ms:
            self.lease_lapsed_ms = self.lease_until_ms
        until_ms = min(
            (deadline_clock_ms - self.clock_offset_ms) / self.clock_rate,
            now_ms + MAX_HOLD_MS / self.clock_rate,
        )
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def _refusal_of(self, task, run_id, fence, deadline_clock_ms, now_ms):
        if fence < self.fence:
            return Refusal.FENCED
        self.fence = fence
        if run_id <= self.closed.get(task, 0):
            return Refusal.OLD_RUN
        if deadline_clock_ms <= self.clock(now_ms):
            return Refusal.LATE
        return None

    def stop(self, task, run_id, fence, now_ms):
        self.advance(now_ms)
        if fence < self.fence:
            return CommandAnswer(refusal=Refusal.FENCED, clock_ms=self.clock(now_ms))
        if self.ignored_stops:
            self.ignored_stops -= 1
            return CommandAnswer(clock_ms=self.clock(now_ms))
        self.closed[task] = max(run_id, self.closed.get(task, 0))
        run = self.running.get((task, run_id))
        if run is not None and run.stop_at_ms is None:
            run.stop_at_ms = now_ms + self.stop_duration_ms
        self.advance(now_ms)
        return CommandAnswer(clock_ms=self.clock(now_ms))

    def pace(self, task, run_id, percent, fence, now_ms):
        self.advance(now_ms)
        if fence < self.fence:
            return CommandAnswer(refusal=Refusal.FENCED, clock_ms=self.clock(now_ms))
        if (task, run_id) in self.running:
            self.pace_percents[task, run_id] = percent
        return CommandAnswer(clock_ms=self.clock(now_ms))

    def poll(self, fence, last_end, deadline_clock_ms, now_ms):
        self.advance(now_ms)
        if fence < self.fence:
            return None
        self.fence = fence
        if deadline_clock_ms:
            self._take_lease(deadline_clock_ms, now_ms)
        self._acknowledge_ends(last_end)
        self.ended = [row for row in self.ended if row.number > last_end]
        running = tuple(
            RunRow(
                task=run.task,
                run_id=run.run_id,
                checkpoint=self.checkpoint,
                percent=self._percent(run, now_ms),
                tail_ms=self.tail_ms,
            )
            for run in self.running.values()
        )
        return WorkerReport(
            clock_ms=self.clock(now_ms),
            running=running,
            ended=tuple(self.ended[: self.max_listed_ends]),
            has_all_ends=len(self.ended) < self.max_listed_ends,
            born_epoch_ms=self.born_epoch_ms,
        )

    def _acknowledge_ends(self, last_end):
        """Mark reported ends as acknowledged, unless the lease has expired since."""
        lease_lapsed_ms = self.lease_lapsed_ms
        if self.now_ms > self.lease_until_ms:
            lease_lapsed_ms = self.lease_until_ms
        acknowledged = {
            (row.task, row.run_id) for row in self.ended if row.number <= last_end
        }
        for run in self.history:
            if (run.task, run.run_id) in acknowledged and run.how != "gone":
                run.is_acknowledged = (
                    run.is_acknowledged or run.ended_ms > lease_lapsed_ms
                )

    def _percent(self, run, now_ms):
        if self.is_stalled:
            return 0
        span_ms = max(1.0, run.ends_ms - run.began_ms)
        most = 100 if self.stalls_at_completion else 99
        return min(most, int(100 * (now_ms - run.began_ms) / span_ms))
