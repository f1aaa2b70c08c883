"""ErrorForm: tell what is wrong with a request, and where."""

from attrs import frozen

__all__ = ["ErrorForm"]


@frozen(kw_only=True)
class ErrorForm:
    """Tell what is wrong with a request, and where."""

    error: str
