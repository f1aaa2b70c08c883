"""ApplyRequest: bring an operators' file to put in force over a base version."""

from attrs import frozen

from thymefork_core.model import OperatorsFile

__all__ = ["ApplyRequest"]


@frozen(kw_only=True)
class ApplyRequest:
    """Bring an operators' file to put in force over a base version."""

    request_id: str
    base: int
    author: str
    file: OperatorsFile
