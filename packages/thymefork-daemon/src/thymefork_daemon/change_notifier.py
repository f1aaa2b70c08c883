"""Change notifications that stay pending until the listener has handled them."""

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """Notify a listener of changes, and once more if the listener raised.

    The listener's exception propagates. Callers therefore schedule their next call
    before they notify, and notify again with each answer.
    """

    def __init__(self, *, listener):
        self._listener = listener
        self._is_pending = False

    def mark_changed(self):
        """Record that a notification is pending."""
        self._is_pending = True

    def notify(self, *news):
        """Call the listener if a change is pending."""
        if not self._is_pending:
            return
        self._is_pending = False  # the listener may cause another change
        try:
            self._listener(*news)
        except Exception:
            self._is_pending = True
            raise
