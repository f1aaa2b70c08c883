"""What callers and operators send and get over HTTP."""

from attrs import Factory, frozen

from thymefork_core.model import Answer, OperatorsFile, WorkSpec

__all__ = [
    "ApplyForm",
    "AnswersForm",
    "AppliedForm",
    "CancelForm",
    "ErrorForm",
    "RefusalForm",
    "SubmitForm",
]


@frozen(kw_only=True)
class SubmitForm:
    """Hold a submission of one or many works; `retry` if they were sent before."""

    works: tuple[WorkSpec, ...]
    retry: bool = False


@frozen(kw_only=True)
class CancelForm:
    """Hold the ids of works to cancel."""

    work_ids: tuple[str, ...]


@frozen(kw_only=True)
class ApplyForm:
    """Hold an operators' file, the version that it builds on and who applies it."""

    base: int
    author: str
    file: OperatorsFile


@frozen(kw_only=True)
class AppliedForm:
    """Tell what became of an apply."""

    accepted: bool
    version: int
    author: str
    reason: str = ""


@frozen(kw_only=True)
class AnswersForm:
    """Hold the final answers of a submission, in its order."""

    answers: tuple[Answer, ...] = Factory(tuple)


@frozen(kw_only=True)
class RefusalForm:
    """Tell why a lookup was not run, and when to come back."""

    outcome: str
    reason: str
    come_back_at_ms: int = 0


@frozen(kw_only=True)
class ErrorForm:
    """Tell what is wrong with a request, and where."""

    error: str
