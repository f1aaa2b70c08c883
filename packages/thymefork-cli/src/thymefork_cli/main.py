"""Entry point of the command `thymefork`."""

import getpass
import time
from pathlib import Path
from typing import Annotated

import orjson
import typer

from thymefork_core.exceptions import ThymeforkError
from thymefork_core.model import OperatorsFile
from thymefork_wire import load_document
from thymefork_wire.strict import to_json

from .checks import check_file
from .client import EntryClient
from .exit_codes import (
    CONFLICT,
    INVALID_FILE,
    NOT_IN_FORCE,
    UNKNOWN_SUBJECT,
    UNREACHABLE,
)
from .explain import explain_subject
from .log_lines import read_lines
from .losses import find_losses, plot_losses
from .show import show_config, show_status, show_work

__all__ = ["app", "main"]

APPLY_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1

app = typer.Typer(add_completion=False, help="Apply whole files and read reports.")
report = typer.Typer(help="Read what the system reports.")
app.add_typer(report, name="report")

FileArgument = Annotated[Path, typer.Argument(help="The operators' JSON file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
ToOption = Annotated[
    str, typer.Option("--to", envvar="THYMEFORK_URL", help="An instance's URL.")
]


def _print(document, as_json, show):
    """Print a document as JSON, or let `show(document)` print it as text."""
    if as_json:
        typer.echo(orjson.dumps(document).decode())
    else:
        show(document)


def _fail(failure, as_json, code):
    document = {"error": str(failure), "step": failure.step, "peer": failure.peer}
    _print(document, as_json, lambda _: typer.echo(f"thymefork: {failure}", err=True))
    raise typer.Exit(code)


def _load(path, as_json):
    try:
        file = load_document(path, OperatorsFile)
        check_file(file, str(path))
        return file
    except ThymeforkError as failure:
        _fail(failure, as_json, INVALID_FILE)


@app.command()
def check(file: FileArgument, json: JsonOption = False):
    """Check a file without applying it."""
    checked = _load(file, json)
    counts = {
        "workers": len(checked.workers),
        "services": len(checked.services),
        "teams": len(checked.teams),
    }
    _print({"valid": True, **counts}, json, lambda d: typer.echo(f"{file}: valid"))


@app.command()
def apply(
    file: FileArgument,
    to: ToOption,
    base: Annotated[
        int, typer.Option(help="The version that the file builds on; 0 is none.")
    ],
    author: Annotated[str, typer.Option(help="Who applies it.")] = "",
    json: JsonOption = False,
):
    """Apply a whole file and wait until it is in force everywhere."""
    checked = _load(file, json)
    try:
        client = EntryClient(url=to)
        form = {"base": base, "author": author or getpass.getuser()}
        body = orjson.dumps({**form, "file": orjson.Fragment(to_json(checked))})
        answer = client.post("/config", body)
        if answer.status != 200:
            document = answer.document
            text = document.get("error") or (
                f"{document['reason']}: version {document['version']} of "
                f"{document['author'] or 'nobody'} is in force; read it, then apply"
                f" with --base {document['version']}"
            )
            code = CONFLICT if answer.status == 409 else INVALID_FILE
            _fail(ThymeforkError(text, step="apply", peer=to), json, code)
        version = answer.document["version"]
        missing = _wait_in_force(client, version)
    except ThymeforkError as failure:
        _fail(failure, json, UNREACHABLE)
    document = {"version": version, "in_force": not missing, "missing": missing}
    _print(document, json, show_config)
    if missing:
        raise typer.Exit(NOT_IN_FORCE)


def _wait_in_force(client, version):
    """Return the instances that do not use a version within the timeout."""
    until_s = time.monotonic() + APPLY_TIMEOUT_S
    while True:
        members = client.get("/report").document["members"]
        missing = [m["name"] for m in members if m["config_version"] < version]
        if not missing or time.monotonic() > until_s:
            return missing
        time.sleep(POLL_INTERVAL_S)


def _read(to, path, as_json, show):
    try:
        answer = EntryClient(url=to).get(path)
    except ThymeforkError as failure:
        _fail(failure, as_json, UNREACHABLE)
    if answer.status != 200:
        text = answer.document.get("error", f"status {answer.status}")
        _fail(ThymeforkError(text, step="report", peer=to), as_json, INVALID_FILE)
    _print(answer.document, as_json, show)


@report.command()
def status(to: ToOption, json: JsonOption = False):
    """Show an instance, its peers and its workers."""
    _read(to, "/report", json, show_status)


@report.command()
def work(
    work_id: Annotated[str, typer.Argument(help="The id that the caller gave.")],
    to: ToOption,
    json: JsonOption = False,
):
    """Show the state of a work item and what it waits for."""
    _read(to, f"/report/{work_id}", json, show_work)


@report.command()
def config(to: ToOption, json: JsonOption = False):
    """Show the version in force."""
    _read(to, "/config", json, show_config)


@app.command()
def explain(
    names: Annotated[
        list[str],
        typer.Argument(help="A job's, task's or run's id, then saved logs."),
    ],
    losses: Annotated[
        bool, typer.Option("--losses", help="Count losses by cause; names are logs.")
    ] = False,
    plot: Annotated[
        Path | None, typer.Option("--plot", help="Draw the losses over time.")
    ] = None,
    json: JsonOption = False,
):
    """Explain from saved logs how an id ended, or why requests were lost or late."""
    paths = [Path(name) for name in (names if losses else names[1:])]
    try:
        lines = _read_logs(paths)
        if losses:
            _explain_losses(lines, plot, json)
            return
        if plot is not None:
            raise ThymeforkError("--plot requires --losses", step="explain")
    except ThymeforkError as failure:
        _fail(failure, json, INVALID_FILE)
    timeline = explain_subject(names[0], lines)
    _print(timeline.document(), json, lambda _: typer.echo(timeline.text()))
    raise typer.Exit(0 if timeline.lines else UNKNOWN_SUBJECT)


def _read_logs(paths):
    if not paths:
        raise ThymeforkError("name at least one log file", step="explain")
    try:
        return read_lines(paths)
    except OSError as failure:
        raise ThymeforkError(str(failure), step="read logs") from failure


def _explain_losses(lines, plot, as_json):
    found = find_losses(lines)
    if plot is not None:
        plot_losses(found, plot)
    _print(found.document(), as_json, lambda _: typer.echo(found.text()))


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
