"""The binary thymeforkd."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from thymefork_core.exceptions import SettingsError

from .daemon import Daemon
from .logs import setup_logs
from .settings import load_settings

__all__ = ["main"]

EXIT_SETTINGS = 2


def run(
    settings: Annotated[Path, typer.Option(help="The JSON file of this process.")],
):
    """Run one entry instance until it is stopped."""
    try:
        checked = load_settings(settings)
    except SettingsError as failure:
        typer.echo(f"thymeforkd: {failure}", err=True)
        raise typer.Exit(EXIT_SETTINGS) from failure
    setup_logs(checked.log_level, instance=checked.name, hall=checked.hall)
    daemon = Daemon(checked)
    logger.info("started")
    daemon.run()
    sys.exit(daemon.exit_code)


def main():
    """Enter from the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
