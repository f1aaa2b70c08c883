"""Simulated worker."""

import random as random_module
import time

import orjson

from thymefork_net import steady_ms

from .faulty_server import Faults, FaultyServer
from .worker_run import Stopping, Waiter, WorkerRun

__all__ = ["Worker"]

TICK_MS = 10.0
# Fraction of long-running tasks that fail, and the maximum time until they do.
LONG_RUNNING_FAIL_SHARE = 0.1
LONG_RUNNING_MAX_FAIL_MS = 8_000.0
# A reduced capacity is enforced after a reconnect and a heartbeat.
SHRINK_GRACE_MS = 3_500.0
# Range from which the duration of a task that always fails is drawn.
FAILING_MS = (50.0, 1_500.0)
# Range from which the downtime after a crash is drawn.
DOWNTIME_MS = (1_000.0, 4_000.0)
# Fraction of restarts that keep the worker's id.
SAME_ID_SHARE = 0.75
# Clock of an incarnation at its start.
INITIAL_CLOCK_MS = 1.0
MAX_HOLD_MS = 10_000.0
# A worker lists this many of its unacknowledged ends at most, the oldest first.
MAX_LISTED_ENDS = 500


class Worker:
    """Run tasks under leases by its own clock, and report running and ended runs."""

    def __init__(
        self,
        *,
        loop,
        host,
        port,
        name,
        incarnation,
        checker,
        cpu_milli,
        seed,
        random,
        speed=1.0,
    ):
        self.name = name
        self._speed = speed
        self._id_number = incarnation
        self._id_random = random_module.Random(f"{seed} {name} ids")
        self.born_epoch_ms = 0
        self.cpu_milli = cpu_milli
        self.address = f"{host}:{port}"
        self.down_since_ms = 0.0
        self.stopping = Stopping()
        self._downtimes = 0
        self._earlier_capacities = []
        self._loop = loop
        self._checker = checker
        self._random = random
        self.faulty_server = FaultyServer(
            loop=loop, host=host, port=port, handle=self._on_call, seed=seed
        )
        self._reset(incarnation)
        loop.timers.every(TICK_MS, self._tick)

    def _reset(self, incarnation):
        self.worker_id = f"{self.name}-{self._id_number}"
        self.incarnation = incarnation
        self._began_ms = steady_ms()
        born_epoch_ms = round(time.time() * 1000.0)
        self.born_epoch_ms = max(self.born_epoch_ms + 1, born_epoch_ms)
        self.draining = False
        self._fence = 0
        self._lease_until_ms = 0.0
        self._running = {}
        self._closed = {}
        self._ended = []
        self._next_end = 1
        self._waiters = []

    def leave(self, after_ms):
        """Drain, then end this incarnation after a delay."""
        self.draining, incarnation = True, self.incarnation
        self._loop.timers.after(after_ms, lambda: self._end_incarnation(incarnation))

    def _end_incarnation(self, incarnation):
        if self.incarnation == incarnation:
            self.crash(self._random.uniform(*DOWNTIME_MS))

    def crash(self, down_ms=0.0, *, keeps_id=False):
        """Lose all runs; restart as a new incarnation, unreachable for `down_ms`."""
        tasks = {task for task, _ in self._running}
        for task in tasks:
            self._checker.on_end(self, task, "crashed")
        self._checker.on_crash(tasks, steady_ms())
        self.faulty_server.close_connections()
        if not keeps_id and self._id_random.random() >= SAME_ID_SHARE:
            self._id_number += 1
        self._reset(self.incarnation + 1)
        if down_ms:
            self.down_since_ms = steady_ms()
            self.faulty_server.outage = Faults(mode="reset")
            self._downtimes += 1
            downtime = self._downtimes
            self._loop.timers.after(down_ms, lambda: self._restart(downtime))

    def _restart(self, downtime):
        if downtime != self._downtimes:
            return  # it crashed again meanwhile, and the later downtime counts
        self.down_since_ms = 0.0
        self.faulty_server.outage = None
        self._reset(self.incarnation)

    def _clock_ms(self):
        """Return the clock of this incarnation."""
        return int(steady_ms() - self._began_ms + INITIAL_CLOCK_MS)

    def _take_lease(self, deadline_ms):
        """Extend the lease to a deadline on this clock, at most `MAX_HOLD_MS` ahead."""
        until_ms = deadline_ms + self._began_ms - INITIAL_CLOCK_MS
        until_ms = min(until_ms, steady_ms() + MAX_HOLD_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _crash_if_running(self, key, incarnation):
        if self.incarnation == incarnation and key in self._running:
            self.crash(self._random.uniform(*DOWNTIME_MS))

    def resize(self, cpu_milli):
        """Change the capacity, which the next heartbeat publishes."""
        self._earlier_capacities.append((steady_ms(), self.cpu_milli))
        self.cpu_milli = cpu_milli

    def effective_cpu(self, now_ms):
        """Return the capacity to enforce; a reduction counts after a grace period."""
        recent = [
            cpu
            for until_ms, cpu in self._earlier_capacities
            if now_ms - until_ms < SHRINK_GRACE_MS
        ]
        return max([self.cpu_milli, *recent])

    def used_cpu(self):
        """Return the CPU that all runs use, in thousandths of a core."""
        return sum(run.cpu_milli for run in self._running.values())

    def entry(self):
        """Return the worker's entry in the store."""
        return {
            "service": "svc",
            "machine_id": self.name,
            "address": self.address,
            "zone": "hall-1",
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": self.cpu_milli, "mem_mb": 64_000, "gpus": 0},
            "labels": ["a", "r1-1"],
            "born": self.born_epoch_ms,
        }

    def _tick(self):
        now_ms = steady_ms()
        for key, run in list(self._running.items()):
            if now_ms > self._lease_until_ms:
                self._end(key, "lapsed")
            elif now_ms > run.ends_ms:
                self._end(key, run.outcome)
        for waiter in list(self._waiters):
            has_new_end = any(row[0] > waiter.last_seen for row in self._ended)
            if has_new_end or now_ms > waiter.until_ms:
                self._waiters.remove(waiter)
                waiter.answer(200, self._report())

    def _end(self, key, outcome):
        task, run_id = key
        del self._running[key]
        self._closed[task] = max(run_id, self._closed.get(task, 0))
        self._ended.append([self._next_end, task, run_id, outcome, ""])
        self._next_end += 1
        self._checker.on_end(self, task, outcome)

    def _report(self):
        now_ms = steady_ms()
        running = [
            [run.task, run.run_id, "", run.percent(now_ms)]
            for run in self._running.values()
        ]
        return {
            "clock_ms": self._clock_ms(),
            "running": running,
            "ended": self._ended[:MAX_LISTED_ENDS],
            "born": self.born_epoch_ms,
        }

    def _on_call(self, request, answer):
        if self.down_since_ms:
            return  # a delayed call reaches no process
        expected = request.headers.get("expected-instance")
        if expected and expected != self.worker_id:
            answer(421)
            return
        body = orjson.loads(request.body)
        clock_ms = self._clock_ms()
        if body["fence_token"] < self._fence:
            answer(409, {"clock_ms": clock_ms, "reason": "fence"})
            return
        self._fence = body["fence_token"]
        if request.path == "/hold":
            self._answer_poll(body, answer)
        elif request.path == "/run-start":
            self._start(body, answer, clock_ms)
        elif request.path == "/run-stop":
            self._stop(body, answer)
        else:
            answer(200, {"clock_ms": clock_ms})

    def _start(self, body, answer, clock_ms):
        key = (body["task"], body["run_id"])
        if key not in self._running:
            if body["run_id"] <= self._closed.get(body["task"], 0):
                answer(409, {"clock_ms": clock_ms, "reason": "old"})
                return
            if body["deadline_ms"] <= clock_ms:
                answer(409, {"clock_ms": clock_ms, "reason": "late"})
                return
            self._run(body, key)
        self._take_lease(body["deadline_ms"])
        answer(200, {"clock_ms": clock_ms})

    def _run(self, body, key):
        task, run_id = key
        job = self._checker.jobs.get(task.split(".")[0])
        step = (
            job["steps"][int(task.split(".")[2])]
            if job
            else {"cpu": 0, "estimated_ms": 500}
        )
        now_ms = steady_ms()
        long_running = step.get("long_running", False)
        if task.split(".")[0] in self._checker.failing_jobs:
            duration_ms, outcome = self._random.uniform(*FAILING_MS), "failed"
        elif long_running:
            duration_ms, outcome = self._draw_long_running_end()
        else:
            duration_ms, outcome = self._draw_end(step)
        self._running[key] = WorkerRun(
            task=task,
            run_id=run_id,
            cpu_milli=step["cpu"],
            began_ms=now_ms,
            ends_ms=now_ms + duration_ms,
            outcome=outcome,
            long_running=long_running,
        )
        self._checker.on_start(self, task, run_id, body["spec"], now_ms)
        crashes_after_ms = self._checker.crashes_after_ms.get(task)
        if crashes_after_ms is not None:
            self._running[key].ends_ms = float("inf")
            incarnation = self.incarnation
            self._loop.timers.after(
                crashes_after_ms, lambda: self._crash_if_running(key, incarnation)
            )

    def _draw_end(self, step):
        duration_ms = self._random.uniform(0.2, 1.8) * step["estimated_ms"]
        duration_ms /= self._speed
        return duration_ms, "failed" if self._random.random() < 0.02 else "done"

    def _draw_long_running_end(self):
        if self._random.random() < LONG_RUNNING_FAIL_SHARE:
            return self._random.uniform(0.0, LONG_RUNNING_MAX_FAIL_MS), "failed"
        return float("inf"), "failed"

    def _stop(self, body, answer):
        key = (body["task"], body["run_id"])
        closed = self._closed.get(body["task"], 0)
        self._closed[body["task"]] = max(body["run_id"], closed)
        if key not in self._running or not self.stopping.stop_ms:
            self._finish_stop(key, answer)
            return
        incarnation, answers_late = self.incarnation, self.stopping.answers_late
        if not answers_late:
            answer(200, {"clock_ms": self._clock_ms()})

        def finish():
            if self.incarnation == incarnation:
                self._finish_stop(key, answer if answers_late else None)

        self._loop.timers.after(self.stopping.stop_ms, finish)

    def _finish_stop(self, key, answer):
        if key in self._running:
            self._end(key, "stopped")
        if answer is not None:
            answer(200, {"clock_ms": self._clock_ms()})

    def _answer_poll(self, body, answer):
        now_ms = steady_ms()
        for row in self._ended:
            if row[0] <= body["last_seen"]:
                self._checker.on_end_recorded(row[1], row[3], now_ms)
        self._ended = [row for row in self._ended if row[0] > body["last_seen"]]
        if body.get("deadline_ms"):
            self._take_lease(body["deadline_ms"])
        if self._ended or not body.get("wait_ms"):
            answer(200, self._report())
            return
        waiter = Waiter(
            answer=answer,
            until_ms=now_ms + body["wait_ms"],
            last_seen=body["last_seen"],
        )
        self._waiters.append(waiter)
