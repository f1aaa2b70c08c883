"""The type `ApplyForm`."""

from attrs import frozen

from thymefork_core.model import OperatorsFile

__all__ = ["ApplyForm"]


@frozen(kw_only=True)
class ApplyForm:
    """Hold an operators' file, the version that it builds on and who applies it."""

    base: int
    author: str
    file: OperatorsFile
