"""AnswersForm: hold the final answers of a submission, in its order."""

from attrs import Factory, frozen

from thymefork_core.model import Answer

__all__ = ["AnswersForm"]


@frozen(kw_only=True)
class AnswersForm:
    """Hold the final answers of a submission, in its order."""

    answers: tuple[Answer, ...] = Factory(tuple)
