"""Configuration: versions, conflicts, and never going back."""

from .config_book import ConfigBook, ConfigVersion

__all__ = ["ConfigBook", "ConfigVersion"]
