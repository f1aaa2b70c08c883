"""Limits of the store on what is appended."""

from attrs import frozen

__all__ = ["RecordLimits"]


@frozen(kw_only=True)
class RecordLimits:
    """Size limits of a record and of all records of one append.

    Units: bytes.
    Source: the settings of the process.
    """

    max_record_bytes: int = 262_144
    max_call_bytes: int = 2_097_152
