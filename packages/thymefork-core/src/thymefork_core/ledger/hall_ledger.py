"""The fold of a hall's stream: the log's order decides, for every reader alike."""

from functools import singledispatchmethod

from thymefork_core.model import Resources

from .entries import (
    Claim,
    Close,
    End,
    Ending,
    Handover,
    Held,
    Renew,
    Resign,
    Start,
    Take,
)
from .state import HallState, OpenAttempt, TaskState
from .verdicts import Verdict, WorkerMoved

__all__ = ["HallLedger"]

_FAILING = {Ending.LOST, Ending.FAILED}
_REOPENING = {Ending.LOST, Ending.FAILED, Ending.NOT_SENT, Ending.PREEMPTED}


class HallLedger:
    """Fold records in the order of their offsets into one state."""

    def __init__(self, *, state=None):
        self.restore(state or HallState())

    def restore(self, state):
        """Take a state as it was checkpointed, and index its open attempts."""
        self.state = state
        self._open = {}
        self._held = {}
        for tasks in state.tasks.values():
            for task in tasks.values():
                if task.open:
                    self._index(task.open)

    def apply(self, record):
        """Fold a record and return a verdict on each of its entries."""
        state = self.state
        if record.offset < state.next_offset:
            return []
        state.next_offset = record.offset + 1
        verdicts = [self._verdict(record, entry) for entry in record.entries]
        state.last_seen[record.author] = record.offset
        return verdicts

    def owned_by(self, instance):
        """Return the workers that an instance owns."""
        return [w for w, owner in self.state.owners.items() if owner == instance]

    def home_of(self, instance):
        """Follow claims from the instance that accepted work to its home now."""
        seen = set()
        while instance in self.state.successors and instance not in seen:
            seen.add(instance)
            instance = self.state.successors[instance]
        return instance

    def task(self, work_id, task):
        """Return the state of a task; a new one if the log names none."""
        return self.state.tasks.get(work_id, {}).get(task) or TaskState()

    def has_run(self, spec):
        """Tell whether a start of any task of a work was sent, or may have been."""
        return any(self.task(spec.work_id, index).ran for index in range(spec.tasks))

    def open_attempts(self, worker):
        """Return the attempts that may be running on a worker."""
        return list(self._open.get(worker, {}).values())

    def held_by_team(self, team):
        """Return what the open attempts of a team hold."""
        return self._held.get(team, Resources())

    def _index(self, attempt):
        on_worker = self._open.setdefault(attempt.worker, {})
        on_worker[attempt.attempt_id] = attempt
        held = self.held_by_team(attempt.team)
        self._held[attempt.team] = held + attempt.resources

    def _unindex(self, attempt):
        del self._open[attempt.worker][attempt.attempt_id]
        held = self.held_by_team(attempt.team)
        self._held[attempt.team] = held - attempt.resources

    def held_elsewhere(self, worker, owner):
        """Return the connections at a worker that others than its owner hold."""
        held = self.state.held.get(worker, {})
        return sum(n for instance, n in held.items() if instance != owner)

    def forget(self, work_id):
        """Drop a settled piece of work whose id is past the window."""
        self.state.tasks.pop(work_id, None)
        self.state.closed.pop(work_id, None)

    def _verdict(self, record, entry):
        verdict = self._fold(entry, record)
        if isinstance(verdict, bool):
            verdict = Verdict(
                author=record.author,
                entry=entry,
                valid=verdict,
                offset=record.offset,
                record_id=record.record_id,
            )
        return verdict

    @singledispatchmethod
    def _fold(self, entry, record):
        return False

    @_fold.register
    def _renew(self, entry: Renew, record):
        return True

    @_fold.register
    def _take(self, entry: Take, record):
        if entry.worker in self.state.owners:
            return False
        return self._move(entry, record, [entry.worker], record.author)

    @_fold.register
    def _handover(self, entry: Handover, record):
        if self.state.owners.get(entry.worker) != record.author:
            return False
        self._hold(entry.worker, record.author, entry.held_connections)
        return self._move(entry, record, [entry.worker], entry.to)

    @_fold.register
    def _held(self, entry: Held, record):
        self._hold(entry.worker, record.author, entry.connections)
        return True

    @_fold.register
    def _claim(self, entry: Claim, record):
        seen = self.state.last_seen.get(entry.victim, -1)
        if record.author == entry.victim or seen > entry.seen_offset:
            return False
        if entry.victim in self.state.successors:
            return False
        self.state.successors[entry.victim] = record.author
        for held in self.state.held.values():
            held.pop(entry.victim, None)
        workers = self.owned_by(entry.victim)
        return self._move(entry, record, workers, record.author)

    @_fold.register
    def _resign(self, entry: Resign, record):
        if record.author in self.state.successors or entry.to == record.author:
            return False
        self.state.successors[record.author] = entry.to
        return True

    @_fold.register
    def _start(self, entry: Start, record):
        task = self.task(entry.work_id, entry.task)
        owned = self.state.owners.get(entry.worker) == record.author
        barred = task.open or task.settled or entry.work_id in self.state.closed
        if not owned or barred or entry.attempt != task.attempts + 1:
            return False
        if entry.at_most_once and task.ran:
            return False
        attempt = OpenAttempt(
            work_id=entry.work_id,
            task=entry.task,
            attempt=entry.attempt,
            worker=entry.worker,
            resources=entry.resources,
            team=entry.team,
            at_most_once=entry.at_most_once,
        )
        task.attempts = entry.attempt
        task.open = attempt
        self._index(attempt)
        task.ran_before = task.ran
        task.ran = True
        task.worker = entry.worker
        self.state.tasks.setdefault(entry.work_id, {})[entry.task] = task
        return self._attempt_verdict(entry, record, attempt)

    @_fold.register
    def _end(self, entry: End, record):
        task = self.task(entry.work_id, entry.task)
        attempt = task.open
        if attempt is None or attempt.attempt != entry.attempt:
            return False
        if self.state.owners.get(attempt.worker) != record.author:
            return False
        task.open = None
        self._unindex(attempt)
        task.ending = entry.ending
        task.exit_code = entry.exit_code
        if entry.ending is Ending.NOT_SENT:
            task.ran = task.ran_before
        task.failures += entry.ending in _FAILING
        reopened = entry.ending in _REOPENING
        once = attempt.at_most_once and entry.ending is not Ending.NOT_SENT
        if not reopened or once or entry.work_id in self.state.closed:
            task.settled = True
            task.reason = self.state.closed.get(entry.work_id)
            task.ended_at_offset = record.offset
        return self._attempt_verdict(entry, record, attempt)

    @_fold.register
    def _close(self, entry: Close, record):
        if entry.work_id in self.state.closed:
            return False
        self.state.closed[entry.work_id] = entry.reason
        tasks = self.state.tasks.setdefault(entry.work_id, {})
        for index in range(entry.tasks):
            task = tasks.setdefault(index, TaskState())
            if task.open is None and not task.settled:
                task.settled = True
                task.reason = entry.reason
                task.ended_at_offset = record.offset
        return True

    def _attempt_verdict(self, entry, record, attempt):
        return Verdict(
            author=record.author,
            entry=entry,
            valid=True,
            offset=record.offset,
            record_id=record.record_id,
            attempt=attempt,
        )

    def _move(self, entry, record, workers, after):
        moved = []
        for worker in workers:
            before = self.state.owners.get(worker, "")
            self.state.owners[worker] = after
            self.state.epochs[worker] = record.offset
            moved.append(WorkerMoved(worker=worker, before=before, after=after))
        return Verdict(
            author=record.author,
            entry=entry,
            valid=True,
            offset=record.offset,
            record_id=record.record_id,
            moved=tuple(moved),
        )

    def _hold(self, worker, instance, connections):
        held = self.state.held.setdefault(worker, {})
        if connections:
            held[instance] = connections
        else:
            held.pop(instance, None)
