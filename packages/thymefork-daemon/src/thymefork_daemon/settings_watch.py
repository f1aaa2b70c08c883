"""Reloading of the settings file when it changes."""

import os
import signal

from loguru import logger

from thymefork_core.exceptions import SettingsError
from thymefork_machines import load_settings

__all__ = ["SettingsWatch"]

# The settings file may also change without a SIGHUP.
CHECK_MS = 1_000.0


class SettingsWatch:
    """Hold the settings in force; an invalid file leaves them unchanged.

    `on_change()` is called after a reload.
    """

    def __init__(self, *, settings, path, timers, on_change):
        self.current = settings
        self._path = path
        self._mtime = _mtime(path)
        self._on_change = on_change
        self._reload_requested = False
        signal.signal(signal.SIGHUP, self._on_sighup)
        timers.every(CHECK_MS, self._check_file)

    def _on_sighup(self, number, frame):
        self._reload_requested = True

    def check_signal(self):
        """Reload if SIGHUP was received since the last call."""
        if self._reload_requested:
            self._reload_requested = False
            self._reload("SIGHUP")

    def _check_file(self):
        mtime = _mtime(self._path)
        if mtime != self._mtime:
            self._mtime = mtime
            self._reload("the file changed")

    def _reload(self, reason):
        try:
            self.current = load_settings(self._path)
        except SettingsError as failure:
            logger.bind(event="reload_failed").error(
                "settings not reloaded, the previous ones stay in force: {}", failure
            )
            return
        logger.bind(event="reloaded", reason=reason).info("settings reloaded")
        self._on_change()


def _mtime(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0  # while the file is being replaced; the next check sees the new one
