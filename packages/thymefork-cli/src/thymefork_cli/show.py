"""Text output of reports."""

from rich.console import Console
from rich.table import Table

__all__ = ["show_config", "show_status", "show_work"]

_CONSOLE = Console(soft_wrap=True, highlight=False)


def show_status(document):
    """Print an instance, its peers and its workers."""
    for key in ("name", "hall", "ready", "log_down", "config_version", "queued"):
        _CONSOLE.print(f"{key}: {document[key]}")
    members = ("name", "hall", "live", "leaving", "log_down", "config_version")
    _table("instances", members, document["members"])
    workers = ("name", "open_for_work", "free_slots", "streams", "running")
    _table("workers owned here", workers, document["workers"])


def show_work(document):
    """Print a work item and its tasks."""
    for key in ("work_id", "known", "hall", "home", "state", "waits_for"):
        _CONSOLE.print(f"{key}: {document[key]}")
    fields = ("task", "attempts", "settled", "ending", "reason", "worker")
    _table("tasks", fields, document["tasks"])


def show_config(document):
    """Print a version and whether it is in force."""
    for key, value in document.items():
        if key != "file":
            _CONSOLE.print(f"{key}: {value}")


def _table(title, fields, rows):
    table = Table(*fields, title=title)
    for row in rows:
        table.add_row(*(str(row[field]) for field in fields))
    _CONSOLE.print(table)
