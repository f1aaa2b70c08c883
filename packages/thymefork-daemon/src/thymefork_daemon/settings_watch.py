"""The settings file, read again when it changes."""

import os
import signal

from loguru import logger

from thymefork_core.exceptions import SettingsError
from thymefork_machines import load_settings

__all__ = ["SettingsWatch"]

# The settings file may change without a signal.
CHECK_MS = 1_000.0


class SettingsWatch:
    """Hold the settings in force; a file that can't be read leaves them as they are.

    `on_change()` is called after a reload.
    """

    def __init__(self, *, settings, path, timers, on_change):
        self.current = settings
        self._path = path
        self._mtime = _mtime(path)
        self._on_change = on_change
        self._hup = False
        signal.signal(signal.SIGHUP, self._on_hup)
        timers.every(CHECK_MS, self._check_file)

    def _on_hup(self, number, frame):
        self._hup = True

    def check_signal(self):
        """Reload if SIGHUP came since the last call."""
        if self._hup:
            self._hup = False
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
            logger.bind(event="reload_failed").error("{}; the old ones hold", failure)
            return
        logger.bind(event="reloaded", reason=reason).info("settings were read again")
        self._on_change()


def _mtime(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0  # while the file is being replaced: the next check sees the new one
