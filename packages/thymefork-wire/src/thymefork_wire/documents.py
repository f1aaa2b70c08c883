"""The JSON form of configuration versions."""

import orjson

from thymefork_core.config import ConfigVersion

from .converter import RECORDS
from .strict import parse_document

__all__ = ["decode_config_version", "encode_config_version"]


def encode_config_version(version):
    """Return the bytes of a version."""
    return orjson.dumps(RECORDS.unstructure(version))


def decode_config_version(data):
    """Return the version that bytes hold.

    Raises: ConfigError if they hold none.
    """
    return parse_document(data, ConfigVersion)
