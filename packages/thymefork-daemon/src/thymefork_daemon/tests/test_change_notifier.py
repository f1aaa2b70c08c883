"""News that are owed until their listener has taken them."""

import pytest

from thymefork_daemon.change_notifier import ChangeNotifier

from .fakes import FailsOnceListener


def test_nothing_is_told_without_a_change():
    notifications = []
    ChangeNotifier(listener=notifications.append).notify("news")
    assert not notifications


def test_a_listener_that_failed_is_told_once_more():
    listener = FailsOnceListener()
    news = ChangeNotifier(listener=listener)
    news.mark_changed()
    with pytest.raises(RuntimeError):
        news.notify("news")
    for _ in range(2):
        news.notify("later news")
    assert listener.notifications == ["later news"]


def test_a_change_that_the_listener_causes_is_told_too():
    notifications = []

    def listener(news):
        notifications.append(news)
        if len(notifications) == 1:
            owed.mark_changed()

    owed = ChangeNotifier(listener=listener)
    owed.mark_changed()
    for news in ("first", "second", "third"):
        owed.notify(news)
    assert notifications == ["first", "second"]
