"""Entry point of the daemon."""

import sys

from loguru import logger

from thymefork_core.exceptions import SettingsError
from thymefork_machines.settings import load_settings, settings_path

from .daemon import Daemon
from .telemetry import configure_logging

__all__ = ["main"]

EXIT_SETTINGS = 2


def main():
    """Read the settings and run until stopped; return the exit status."""
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsError as failure:
        print(f"thymefork: {failure}", file=sys.stderr)
        return EXIT_SETTINGS
    writer = configure_logging("INFO", instance=settings.instance, hall=settings.hall)
    daemon = Daemon(settings, path, writer)
    daemon.run()
    logger.remove()
    return 0


if __name__ == "__main__":
    sys.exit(main())
