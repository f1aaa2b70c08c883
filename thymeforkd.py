"""Run the daemon from a checkout: the packages' folders go on Python's path."""

import sys
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).resolve().parent
PACKAGES = ("core", "net", "cells", "daemon")

# circuits loads this old library only to declare itself a namespace, which nothing here
# needs; it would take half of the time of a restart.
_PKG_RESOURCES = ModuleType("pkg_resources")
_PKG_RESOURCES.declare_namespace = lambda name: None
sys.modules.setdefault("pkg_resources", _PKG_RESOURCES)
sys.path[:0] = [
    str(ROOT / "packages" / f"thymefork-{name}" / "src") for name in PACKAGES
]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from thymefork_daemon.main import main  # noqa: E402 - the path comes first

if __name__ == "__main__":
    sys.exit(main())
