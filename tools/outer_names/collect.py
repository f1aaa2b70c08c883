"""Print the names that leave a process or that code finds by their text, one a line."""

import ast
import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_./-]*")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
THRIFT_FIELD = re.compile(r"(?:\d+:\s*(?:required|optional)?\s*[\w<>, ]+?\s+(\w+))")
THRIFT_TYPE = re.compile(r"(?:struct|enum|union|exception)\s+(\w+)")
# Calls whose keyword arguments are written out: log lines and their fields.
WRITTEN_OUT = {"bind", "note", "Note", "contextualize"}
# Calls whose texts name attributes or handlers.
FOUND_BY_TEXT = {"getattr", "setattr", "hasattr", "handler", "attrgetter"}
# Classes whose fields a converter or a codec writes under their own names.
STORED = (
    "packages/thymefork-core/src/thymefork_core/ledger/",
    "packages/thymefork-core/src/thymefork_core/config/",
    "packages/thymefork-core/src/thymefork_core/membership/",
    "packages/thymefork-core/src/thymefork_core/model/",
    "packages/thymefork-core/src/thymefork_core/peer/",
    "packages/thymefork-cells/src/thymefork_cells/specs/job_spec.py",
    "packages/thymefork-cells/src/thymefork_cells/specs/step_spec.py",
    "packages/thymefork-entry/src/thymefork_entry/settings.py",
)


def tracked(*patterns):
    """Return the tracked files of some patterns."""
    found = subprocess.run(
        ["git", "ls-files", "--", *patterns],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return [ROOT / line for line in found.stdout.splitlines()]


def is_public_list(node):
    """Tell whether a statement sets `__all__` or `__slots__`."""
    targets = getattr(node, "targets", [])
    return isinstance(node, ast.Assign) and any(
        isinstance(target, ast.Name) and target.id in {"__all__", "__slots__"}
        for target in targets
    )


def is_text(node):
    """Tell whether a statement is a docstring."""
    return (
        isinstance(node, ast.Expr)
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
    )


def is_event(node):
    """Tell whether a class is an event or an enum, whose names are written out."""
    bases = {getattr(base, "id", getattr(base, "attr", "")) for base in node.bases}
    return bool(bases & {"Event", "Enum", "IntEnum", "StrEnum", "Flag"})


def called(node):
    """Return the last part of a called name."""
    return getattr(node.func, "attr", getattr(node.func, "id", ""))


class Collector(ast.NodeVisitor):
    """Collect texts that look like names, and names that are written out."""

    def __init__(self, *, stores_fields):
        self.names = set()
        self._stores_fields = stores_fields

    def visit_Constant(self, node):
        """Take a text that looks like a name."""
        if isinstance(node.value, str) and WORD.fullmatch(node.value):
            self.names.add(node.value)

    def visit_Assign(self, node):
        """Pass over lists of public names."""
        if not is_public_list(node):
            self.generic_visit(node)

    def visit_Expr(self, node):
        """Pass over docstrings."""
        if not is_text(node):
            self.generic_visit(node)

    def visit_Call(self, node):
        """Take keyword arguments that are written out."""
        if called(node) in WRITTEN_OUT:
            self.names.update(key.arg for key in node.keywords if key.arg)
        self.generic_visit(node)

    def visit_ClassDef(self, node):
        """Take events, enum members and stored fields."""
        if is_event(node):
            self._take_members(node)
        if self._stores_fields:
            self.names.add(node.name)
            self.names.update(
                item.target.id
                for item in node.body
                if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name)
            )
        self.generic_visit(node)

    def _take_members(self, node):
        bases = {getattr(base, "id", "") for base in node.bases}
        if "Event" in bases:
            self.names.add(node.name)
            return
        for item in node.body:
            for target in getattr(item, "targets", []):
                self.names.update({target.id, target.id.lower()})

    def visit_FunctionDef(self, node):
        """Take handlers, commands and decoders, which are found or told by name."""
        decorators = {
            called(item) if isinstance(item, ast.Call) else getattr(item, "attr", "")
            for item in node.decorator_list
        }
        if decorators & {"handler", "command"}:
            self.names.add(node.name)
        if "command" in decorators:
            self.names.update(item.arg for item in node.args.args)
            self.names.update(item.arg for item in node.args.kwonlyargs)
        if node.name.startswith("decode_"):
            self.names.add(node.name)
        self.generic_visit(node)


def names_in_code(path):
    """Return the names of one module."""
    stores = any(part in path.as_posix() for part in STORED)
    collector = Collector(stores_fields=stores)
    collector.visit(ast.parse(path.read_text()))
    return collector.names


def names_in_thrift(path):
    """Return the types and fields of one schema."""
    text = re.sub(r"/\*.*?\*/", "", path.read_text(), flags=re.S)
    return set(THRIFT_TYPE.findall(text)) | set(THRIFT_FIELD.findall(text))


def keys(document):
    """Return all keys of a parsed JSON or TOML document."""
    if isinstance(document, dict):
        found = set(document)
        for value in document.values():
            found |= keys(value)
        return found
    if isinstance(document, list):
        return set().union(*(keys(item) for item in document))
    return set()


def names_in_data(path):
    """Return the keys of a settings, configuration or deploy file."""
    text = path.read_text()
    document = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    return {key for key in keys(document) if WORD.fullmatch(key)}


def main():
    """Collect and print."""
    names = set()
    code = tracked("packages/*.py", "platform/*.py", "soak/src/*.py", "thymeforkd.py")
    for path in code:
        if "/gen/" not in path.as_posix() and "/tests/" not in path.as_posix():
            names |= names_in_code(path)
    for path in tracked("*.thrift"):
        names |= names_in_thrift(path)
    for path in tracked("deploy/system.toml", "examples/*.json"):
        names |= names_in_data(path)
    print("\n".join(sorted(name for name in names if IDENTIFIER.match(name))))


if __name__ == "__main__":
    sys.exit(main())
