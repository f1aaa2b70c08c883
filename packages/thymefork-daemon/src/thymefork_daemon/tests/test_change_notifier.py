"""Pending change notifications."""

import pytest

from thymefork_daemon.change_notifier import ChangeNotifier

from .fakes import FailsOnceListener


def test_nothing_is_notified_without_a_change():
    notifications = []
    ChangeNotifier(listener=notifications.append).notify("news")
    assert not notifications


def test_listener_that_raised_is_notified_again():
    listener = FailsOnceListener()
    news = ChangeNotifier(listener=listener)
    news.mark_changed()
    with pytest.raises(RuntimeError):
        news.notify("news")
    for _ in range(2):
        news.notify("later news")
    assert listener.notifications == ["later news"]


def test_change_caused_by_the_listener_is_notified():
    notifications = []

    def listener(news):
        notifications.append(news)
        if len(notifications) == 1:
            notifier.mark_changed()

    notifier = ChangeNotifier(listener=listener)
    notifier.mark_changed()
    for news in ("first", "second", "third"):
        notifier.notify(news)
    assert notifications == ["first", "second"]
