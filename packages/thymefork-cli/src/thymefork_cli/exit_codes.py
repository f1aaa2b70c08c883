"""Exit codes, documented in docs/operators/command-line.md."""

__all__ = ["CONFLICT", "INVALID_FILE", "NOT_IN_FORCE", "UNKNOWN_SUBJECT", "UNREACHABLE"]

INVALID_FILE = 2
CONFLICT = 3
NOT_IN_FORCE = 4
UNREACHABLE = 5
UNKNOWN_SUBJECT = 6
