"""Heartbeats and the configuration."""

from .beat import Beat
from .config_pull import ConfigPull
from .config_push import ConfigPush
from .heartbeat import Heartbeat

__all__ = ["Beat", "ConfigPull", "ConfigPush", "Heartbeat"]
