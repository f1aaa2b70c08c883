"""ReplyAnswers: answer a submission or a cancellation."""

from attrs import frozen

from thymefork_core.model import Answer

__all__ = ["ReplyAnswers"]


@frozen(kw_only=True)
class ReplyAnswers:
    """Answer a submission or a cancellation."""

    request_id: str
    answers: tuple[Answer, ...]
