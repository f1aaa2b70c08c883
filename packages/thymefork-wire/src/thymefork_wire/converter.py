"""The cattrs converters: a strict one for people, a fast one for records."""

from typing import get_origin

from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from thymefork_core.ledger import Entry
from thymefork_core.membership import InstanceState
from thymefork_core.model import WorkKind

__all__ = ["RECORDS", "STRICT"]

_EXACT = (int, str, bool)
_ENUMS = (WorkKind, InstanceState)


def _exact(value, kind):
    if type(value) is not kind:
        raise TypeError(f"wants {kind.__name__}, got {type(value).__name__}")
    return value


def _number(value, _):
    if type(value) not in (int, float):
        raise TypeError(f"wants a number, got {type(value).__name__}")
    return float(value)


def _is_many(kind):
    return get_origin(kind) is tuple


def _from_list(kind, converter):
    """Read a tuple from a JSON list only; a string is not taken letter by letter."""
    structure = homogenous_tuple_structure_factory(kind, converter)

    def from_list(value, kind):
        if not isinstance(value, list):
            raise TypeError(f"wants a list, got {type(value).__name__}")
        return structure(value, kind)

    return from_list


def _make_strict():
    converter = make_converter(forbid_extra_keys=True)
    for kind in _EXACT:
        converter.register_structure_hook(kind, _exact)
    for kind in _ENUMS:
        converter.register_structure_hook(kind, lambda value, enum: enum(value))
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook_factory(_is_many, _from_list)
    return converter


def _make_records():
    converter = make_converter(omit_if_default=True, detailed_validation=False)
    configure_tagged_union(Entry, converter, tag_name="t")
    return converter


STRICT = _make_strict()
RECORDS = _make_records()
