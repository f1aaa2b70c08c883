"""ConfigRead: bring versions from the config stream in order."""

from attrs import frozen

from thymefork_core.config import ConfigVersion

__all__ = ["ConfigRead"]


@frozen(kw_only=True)
class ConfigRead:
    """Bring versions from the config stream in order."""

    versions: tuple[ConfigVersion, ...]
    checkpoints: tuple[ConfigVersion, ...]
    began_mono_ms: int
    at_end: bool
