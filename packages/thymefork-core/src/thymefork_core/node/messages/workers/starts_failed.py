"""StartsFailed: tell that starts got no answer; `sent` if they may have arrived."""

from attrs import frozen

__all__ = ["StartsFailed"]


@frozen(kw_only=True)
class StartsFailed:
    """Tell that starts got no answer; `sent` if they may have arrived."""

    worker: str
    attempt_ids: tuple[str, ...]
    sent: bool
