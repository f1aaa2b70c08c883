"""Answers to callers and operators."""

from .reply_answers import ReplyAnswers
from .reply_applied import ReplyApplied
from .reply_lookup import ReplyLookup
from .reply_report import ReplyReport

__all__ = ["ReplyAnswers", "ReplyApplied", "ReplyLookup", "ReplyReport"]
