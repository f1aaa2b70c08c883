"""What callers and operators send and get over HTTP."""

from .answers_form import AnswersForm
from .applied_form import AppliedForm
from .apply_form import ApplyForm
from .cancel_form import CancelForm
from .error_form import ErrorForm
from .refusal_form import RefusalForm
from .submit_form import SubmitForm

__all__ = [
    "AnswersForm",
    "AppliedForm",
    "ApplyForm",
    "CancelForm",
    "ErrorForm",
    "RefusalForm",
    "SubmitForm",
]
