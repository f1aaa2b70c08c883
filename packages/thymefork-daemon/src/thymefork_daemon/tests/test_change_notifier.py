"""Pending change notifications."""

import pytest

from thymefork_daemon.change_notifier import ChangeNotifier

from .fakes import FailsOnceListener


def test_nothing_is_notified_without_a_change():
    notifications = []
    ChangeNotifier(listener=notifications.append).notify("change")
    assert not notifications


def test_listener_that_raised_is_notified_again():
    listener = FailsOnceListener()
    notifier = ChangeNotifier(listener=listener)
    notifier.mark_changed()
    with pytest.raises(RuntimeError):
        notifier.notify("change")
    for _ in range(2):
        notifier.notify("later change")
    assert listener.notifications == ["later change"]


def test_change_caused_by_the_listener_is_notified():
    notifications = []

    def listener(change):
        notifications.append(change)
        if len(notifications) == 1:
            notifier.mark_changed()

    notifier = ChangeNotifier(listener=listener)
    notifier.mark_changed()
    for change in ("first", "second", "third"):
        notifier.notify(change)
    assert notifications == ["first", "second"]
