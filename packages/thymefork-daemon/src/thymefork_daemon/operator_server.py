"""HTTP server for operators: metrics and job reports."""

import orjson

from thymefork_cells import cell_of
from thymefork_net.http import HttpServer

__all__ = ["OperatorServer"]


class OperatorServer:
    """Serve `/metrics` and `/report/JOB` on the metrics address."""

    def __init__(self, *, daemon, address):
        self._daemon = daemon
        HttpServer(
            sockets=daemon.sockets,
            timers=daemon.timers,
            address=address,
            on_request=self._on_request,
        )

    def _on_request(self, request):
        if request.path == "/metrics":
            text = self._daemon.metrics.text()
            request.answer(200, text, content_type="text/plain")
        elif request.path.startswith("/report/"):
            job_id = request.path.removeprefix("/report/")
            request.answer(200, orjson.dumps(self._report(job_id)))
        else:
            request.answer(404)

    def _report(self, job_id):
        """Return a job's report; only the owner of its cell knows the details."""
        report = {
            "work_id": job_id,
            "known": False,
            "hall": self._daemon.settings.hall,
            "home": "",
            "state": "",
            "waits_for": "",
            "tasks": [],
        }
        cells = self._daemon.layout.cells
        if not cells:
            return {**report, "waits_for": "the number of cells is not agreed yet"}
        index = cell_of(job_id, cells)
        owner = self._daemon.owners.get(index)
        if owner is None or owner.cell is None:
            address = self._daemon.directory.owner_of(index)
            return {**report, "home": str(address), "waits_for": "ask the cell's owner"}
        report["home"] = self._daemon.settings.instance
        job = owner.cell.context.jobs.get(job_id)
        return report if job is None else {**report, **_job_report(job)}


def _job_report(job):
    return {
        "known": True,
        "state": str(job.state),
        "waits_for": job.reason,
        "tasks": [
            _task_report(number, task)
            for number, task in enumerate(
                task for step in job.steps for task in step.tasks
            )
        ],
    }


def _task_report(number, task):
    run = task.runs[0] if task.runs else None
    return {
        "task": number,
        "attempts": task.run_count,
        "settled": task.done,
        "ending": "done" if task.done else "",
        "reason": f"{task.name}, failed {task.failures} times",
        "worker": run.worker.worker_id if run else "",
        "open": f"{run.state.name.lower()} {run.percent}%" if run else None,
    }
