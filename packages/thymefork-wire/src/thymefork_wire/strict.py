"""Reading JSON documents with errors that name the field's path and the fix."""

from pathlib import Path

import orjson
from cattrs import BaseValidationError, transform_error

from thymefork_core.exceptions import ConfigError

from .converter import STRICT

__all__ = ["load_document", "parse_document", "to_json"]


def load_document(path, kind, error=ConfigError):
    """Read a JSON file as a type.

    Raises: `error` with the file, the field's path and the fix.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as failure:
        message = f"{path}: {failure.strerror}; give a readable file"
        raise error(message, step="read") from failure
    return parse_document(data, kind, error, name=str(path))


def parse_document(data, kind, error=ConfigError, name="body"):
    """Read JSON bytes as a type.

    Raises: `error` with the field's path and the fix.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as failure:
        message = f"{name}: line {failure.lineno}: {failure.msg}; write valid JSON"
        raise error(message, step="parse") from failure
    if not isinstance(document, dict):
        raise error(f"{name}: wants an object; write {{...}} @ $", step="check")
    try:
        return STRICT.structure(document, kind)
    except BaseValidationError as failure:
        places = "; ".join(transform_error(failure, path="$", format_exception=_fix))
        raise error(f"{name}: {places}", step="check") from failure


def _fix(failure, kind):
    if isinstance(failure, KeyError):
        return "is missing; add it"
    extra = getattr(failure, "extra_fields", None)
    if extra:
        return f"unknown field {', '.join(sorted(extra))}; remove it"
    detail = failure.args[0] if failure.args else failure
    return f"{detail}; give a valid {getattr(kind, '__name__', 'value')}"


def to_json(value):
    """Return a typed value as JSON bytes, with every field."""
    return orjson.dumps(STRICT.unstructure(value))
