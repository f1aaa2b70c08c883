"""News for a listener that is owed until the listener has taken it."""

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """Tell a listener that something changed; one that failed is told once more.

    A failure goes on to the caller, whose caller logs it with its trace. So whoever
    tells arms the next call first, and tells with each answer.
    """

    def __init__(self, *, listener):
        self._listener = listener
        self._is_owed = False

    def mark_changed(self):
        """Take note of a change."""
        self._is_owed = True

    def notify(self, *news):
        """Tell the listener if there was a change that it has not taken."""
        if not self._is_owed:
            return
        self._is_owed = False  # a change that the listener itself causes is owed anew
        try:
            self._listener(*news)
        except Exception:
            self._is_owed = True
            raise
