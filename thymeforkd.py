"""Run the daemon from a checkout, without installing its packages."""

import sys
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).resolve().parent
PACKAGES = ("core", "net", "cells", "daemon")

# circuits imports pkg_resources only to declare a namespace, which is not needed here;
# loading it would double the time of a restart.
_PKG_RESOURCES = ModuleType("pkg_resources")
_PKG_RESOURCES.declare_namespace = lambda name: None
sys.modules.setdefault("pkg_resources", _PKG_RESOURCES)
sys.path[:0] = [
    str(ROOT / "packages" / f"thymefork-{name}" / "src") for name in PACKAGES
]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from thymefork_daemon.main import main  # noqa: E402 - needs the path

if __name__ == "__main__":
    sys.exit(main())
