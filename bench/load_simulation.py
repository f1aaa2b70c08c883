"""Simulation of a load against a cell with virtual workers."""

import random

from attrs import evolve, frozen

from thymefork_cells.specs import (
    AccountPolicy,
    Configuration,
    QueuePolicy,
    ResourceLimit,
)
from thymefork_cells.tests.harness import Harness, job_spec
from thymefork_cells.tests.virtual_worker import VirtualWorker

from .load_file import JobKind

__all__ = ["LoadSimulation"]

# Worth of a late result, up to `MAX_LATE_FACTOR` times the objective.
LATE_WORTH = 0.2
MAX_LATE_FACTOR = 3.0
# Time for running jobs to end after the last submission.
SETTLE_MS = 20_000.0
MAX_WIDTH = 60
# Time to restore a checkpoint.
RESTORE_MS = 600.0
# Log-normal sigma of the work of a kind between images, and of an image between jobs.
IMAGE_SPREAD = 0.4
JOB_SPREAD = 0.1


class SizedWorker(VirtualWorker):
    """Virtual worker with a duration for each task; can resume from checkpoints."""

    def __init__(self, *, durations_ms, keeps_progress, **fields):
        super().__init__(**fields)
        self._durations_ms = durations_ms
        self._keeps_progress = keeps_progress

    def start(self, task, *order, **options):
        """Start a run with the duration drawn for its task."""
        self.work_ms = self._durations_ms[task]
        return super().start(task, *order, **options)

    def stop(self, task, run_id, fence, now_ms):
        """Stop a run and keep the remaining duration if the task has checkpoints."""
        run = self.running.get((task, run_id))
        if run is not None and self._keeps_progress(task):
            left_ms = max(0.0, run.ends_ms - now_ms) / self.slow_factor
            self._durations_ms[task] = RESTORE_MS + left_ms
        return super().stop(task, run_id, fence, now_ms)


@frozen(kw_only=True, eq=False)
class _SentJob:
    kind: JobKind
    account: str
    objective_ms: float
    is_promised: bool


class LoadSimulation:
    """Submit the random jobs of a load and sum up the worth of their results."""

    def __init__(self, *, load, seed):
        self._load = load
        self._random = random.Random(seed)
        self._durations_ms = {}
        self._sent_jobs = {}
        self._promised_at_ms = {}
        self._harness = self._deploy()

    def _deploy(self):
        load = self._load
        harness = Harness(workers=load.workers, advisers=load.advisers)
        harness.workers = {
            f"w{number}": SizedWorker(
                worker_id=f"w{number}",
                durations_ms=self._durations_ms,
                keeps_progress=self._keeps_progress,
                slow_factor=load.slowness[number % len(load.slowness)],
            )
            for number in range(load.workers)
        }
        harness.entries = [
            evolve(entry, cpu_milli=load.cpu_milli[number % len(load.cpu_milli)])
            for number, entry in enumerate(harness.entries)
        ]
        harness.rooms = {
            entry.worker_id: [(float("-inf"), entry.cpu_milli)]
            for entry in harness.entries
        }
        harness.configuration = self._configuration()
        harness.is_allowed = self._allows
        harness.take_over()
        harness.run(500)
        return harness

    def _keeps_progress(self, task):
        return self._sent_jobs[task.split(".")[0]].kind.checkpoints

    def _configuration(self):
        queues = tuple(
            QueuePolicy(
                name=kind.name,
                host="h",
                path_prefix=f"/{kind.name}/",
                service="s",
                priority=kind.priority,
                max_attempts=3,
                stretch=kind.stretch,
                target_latency_ms=kind.target_ms,
                advice=kind.advice,
            )
            for kind in self._load.kinds
        )
        accounts = tuple(
            AccountPolicy(
                name=account.name,
                weight=account.weight,
                limit=ResourceLimit(cpu_milli=account.limit_cpu_milli),
            )
            for account in self._load.accounts
        )
        return Configuration(version=1, queues=queues, accounts=accounts)

    def _allows(self, step, worker_id):
        kind = self._sent_jobs[step.split(".")[0]].kind
        draw = random.Random(f"{step} {worker_id}").random()
        return draw < kind.allowed_share

    def run(self):
        """Run the simulation; return the fractions of the promised worth."""
        events = sorted(
            (at_ms, kind_number)
            for kind_number, kind in enumerate(self._load.kinds)
            for at_ms in self._arrivals(kind)
        )
        harness, began_ms = self._harness, self._harness.now
        for number, (at_ms, kind_number) in enumerate(events):
            harness.run(max(0.0, began_ms + at_ms - harness.now))
            self._disconnect_workers(at_ms)
            self._submit(
                f"{number:016x}", self._load.kinds[kind_number], at_ms / 1000.0
            )
        harness.run(SETTLE_MS)
        return self._result()

    def _arrivals(self, kind):
        now_s = 0.0
        while True:
            rate = kind.jobs_per_s * sum(
                account.part_at(now_s)
                for account in self._load.accounts
                if account.sends(kind)
            )
            now_s += self._random.expovariate(rate)
            if now_s >= self._load.seconds:
                return
            yield now_s * 1000.0

    def _disconnect_workers(self, at_ms):
        load = self._load
        if load.cut_share and at_ms >= load.cut_at_s * 1000.0:
            count = int(load.cut_share * load.workers)
            for worker in list(self._harness.workers.values())[:count]:
                worker.cut = True

    def _submit(self, job_id, kind, now_s):
        accounts = [account for account in self._load.accounts if account.sends(kind)]
        parts = [account.part_at(now_s) for account in accounts]
        account = self._random.choices(accounts, parts)[0]
        image = f"{kind.name}-{self._random.randrange(kind.images)}"
        work_ms = kind.work_ms * random.Random(image).lognormvariate(0.0, IMAGE_SPREAD)
        work_ms *= self._random.lognormvariate(0.0, JOB_SPREAD)
        steps = []
        for number in range(kind.steps):
            mean_width = kind.width * account.width_factor
            width = min(MAX_WIDTH, 1 + int(self._random.expovariate(1.0 / mean_width)))
            error = self._random.lognormvariate(0.0, self._load.estimate_error)
            steps.append(
                {
                    "count": width,
                    "cpu_milli": kind.cpu_milli,
                    "memory_mb": 100,
                    "estimated_ms": max(1, int(work_ms * error)),
                    "image": image,
                    "gang": self._random.random() < kind.gang_share,
                    "checkpoints": kind.checkpoints,
                    "after": (number - 1,) if number else (),
                }
            )
            for index in range(width):
                factor = self._random.uniform(0.7, 1.3)
                self._durations_ms[f"{job_id}.0.{number}.{index}"] = work_ms * factor
        longest_ms = 1.3 * work_ms * kind.steps
        self._sent_jobs[job_id] = _SentJob(
            kind=kind,
            account=account.name,
            objective_ms=kind.stretch * longest_ms + kind.target_ms,
            is_promised=self._is_within_promised_rate(account, now_s * 1000.0),
        )
        self._harness.submit(
            job_id, job_spec(*steps), kind.name, account_name=account.name
        )

    def _is_within_promised_rate(self, account, now_ms):
        """Return whether a job is within its account's promised rate."""
        if not account.weight:
            return True
        recent = self._promised_at_ms.setdefault(account.name, [])
        recent[:] = [at_ms for at_ms in recent if now_ms - at_ms < 1_000.0]
        if len(recent) >= account.weight:
            return False
        recent.append(now_ms)
        return True

    def _result(self):
        earned, promised, in_time = {}, {}, []
        for job_id, sent in self._sent_jobs.items():
            if not sent.is_promised:
                continue
            value = self._value_of(job_id, sent)
            in_time.append(value == 1.0)
            earned.setdefault(sent.account, []).append(value * sent.kind.worth)
            promised.setdefault(sent.account, []).append(sent.kind.worth)
        shares = {name: sum(earned[name]) / sum(promised[name]) for name in promised}
        return {
            "worth": sum(map(sum, earned.values())) / sum(map(sum, promised.values())),
            "in_time": sum(in_time) / len(in_time),
            "worst_account": min(shares.values()),
            "calls": len(self._harness.advice_requests),
        }

    def _value_of(self, job_id, sent):
        job = self._harness.cell.context.jobs.get(job_id)
        if job is None or str(job.state) != "succeeded":
            return 0.0
        took_ms = job.ended_ms - job.accepted_ms
        if took_ms <= sent.objective_ms:
            return 1.0
        return LATE_WORTH if took_ms <= MAX_LATE_FACTOR * sent.objective_ms else 0.0
