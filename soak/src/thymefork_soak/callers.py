"""Callers that submit jobs over keep-alive connections and retry with the same id."""

import asyncio
import json

from attrs import define, field

from thymefork_net import steady_ms

from .fleet import FRONT

__all__ = ["Caller", "SubmittedJob"]

CALL_TIMEOUT_S = 3.0
MAX_RETRIES = 4
RETRY_DELAY_S = 0.4
LONG_TASK_SHARE = 0.2


@define(kw_only=True)
class SubmittedJob:
    """Hold what a caller knows about a job that it submitted."""

    job_id: str
    accepted: bool = False
    always_refused: bool = True
    cancelled: bool = False
    long_running: bool = False
    crashing: bool = False
    failing: bool = False
    state: str = ""
    answers: list = field(factory=list)


class Caller:
    """Submit jobs to randomly chosen daemons, one after the other."""

    def __init__(self, *, fleet, random, account=""):
        self.submitted_jobs = []
        self._account = account
        self._fleet = fleet
        self._random = random
        self._connection = None

    async def run(self, until_s, now):
        """Submit jobs until the given time."""
        while now() < until_s:
            await self._submit_job()
            await asyncio.sleep(self._random.uniform(0.05, 0.4))

    async def _submit_job(self):
        submitted = SubmittedJob(job_id=f"{self._random.getrandbits(64):016x}")
        self.submitted_jobs.append(submitted)
        job = self._job()
        await self._announce_job(submitted, job)
        for _ in range(1 + MAX_RETRIES):
            status = await self.call("POST", submitted.job_id, job)
            submitted.answers.append(status)
            if status == 200:
                submitted.accepted = True
            if status not in (429, 503):
                submitted.always_refused = False
            if status == 200:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if submitted.accepted and self._random.random() < 0.1:
            await self.cancel(submitted)

    async def _announce_job(self, submitted, job, **more):
        """Tell the simulated platform which job is about to be submitted."""
        notice = {"id": submitted.job_id, "job": job, "account": self._account, **more}
        await self._fleet.control("job", notice)

    def _job(self):
        # Some tasks outlast a lease, so that leases of unreachable workers expire.
        estimated_ms = 5_000 if self._random.random() < LONG_TASK_SHARE else 500
        first = {"count": self._random.randint(1, 6), "cpu": 500, "mem_mb": 64}
        steps = [{**first, "estimated_ms": estimated_ms}]
        if self._random.random() < 0.5:
            steps.append({"count": 2, "cpu": 800, "estimated_ms": 500, "after": [0]})
        return {"spec": f"text {self._random.random()}", "steps": steps}

    async def cancel(self, submitted):
        """Cancel a job once; report an acknowledgement to the simulated platform."""
        submitted.cancelled = True
        status = await self.call("DELETE", submitted.job_id)
        # Comparable with the platform's times: both read this machine's steady clock.
        acknowledged_ms = steady_ms()
        if status not in (200, 410):
            return False
        notice = {"id": submitted.job_id, "acknowledged_ms": acknowledged_ms}
        await self._fleet.control("cancelled", notice)
        return True

    async def read_state(self, submitted):
        """Request a job's state."""
        return await self.call("GET", submitted.job_id, want_state=True)

    async def call(self, method, job_id, document=None, *, want_state=False):
        """Return the HTTP status, 0 if unanswered; or the job state if requested."""
        try:
            return await asyncio.wait_for(
                self._call(method, job_id, document, want_state), CALL_TIMEOUT_S
            )
        except (OSError, EOFError, TimeoutError):
            self._close_connection()  # the next call picks a daemon again
            return "" if want_state else 0

    def _close_connection(self):
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None

    async def _call(self, method, job_id, document, want_state):
        if self._connection is None:
            daemon = self._random.choice(self._fleet.daemons)
            self._connection = await asyncio.open_connection(daemon.host, FRONT)
        reader, writer = self._connection
        body = json.dumps(document).encode() if document is not None else b""
        head = (
            f"{method} /jobs/{job_id} HTTP/1.1\r\nHost: lookup.example\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if self._account:
            head += f"Api-Key: key-of-{self._account}\r\n"
        writer.write(f"{head}\r\n".encode() + body)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(answer.split("content-length: ")[1].split("\r\n")[0])
        content = await reader.readexactly(length)
        if "connection: close" in answer:
            self._close_connection()
        status = int(answer.split(" ")[1])
        if not want_state:
            return status
        return json.loads(content)["state"] if status == 200 else str(status)
