"""The type `SubmitForm`."""

from attrs import frozen

from thymefork_core.model import WorkSpec

__all__ = ["SubmitForm"]


@frozen(kw_only=True)
class SubmitForm:
    """Hold a submission of one or many works; `retry` if they were sent before."""

    works: tuple[WorkSpec, ...]
    retry: bool = False
