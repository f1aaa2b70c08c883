"""ConfigPush: send the configuration in force."""

from attrs import frozen

from thymefork_core.config import ConfigVersion

__all__ = ["ConfigPush"]


@frozen(kw_only=True)
class ConfigPush:
    """Send the configuration in force."""

    current: ConfigVersion
