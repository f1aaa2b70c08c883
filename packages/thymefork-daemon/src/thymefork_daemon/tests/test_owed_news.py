"""News that are owed until their listener has taken them."""

import pytest

from thymefork_daemon.owed_news import OwedNews

from .fakes import FailingOnce


def test_nothing_is_told_without_a_change():
    told = []
    OwedNews(listener=told.append).tell("news")
    assert not told


def test_a_listener_that_failed_is_told_once_more():
    listener = FailingOnce()
    news = OwedNews(listener=listener)
    news.owe()
    with pytest.raises(RuntimeError):
        news.tell("news")
    for _ in range(2):
        news.tell("later news")
    assert listener.told == ["later news"]


def test_a_change_that_the_listener_causes_is_told_too():
    told = []

    def listener(news):
        told.append(news)
        if len(told) == 1:
            owed.owe()

    owed = OwedNews(listener=listener)
    owed.owe()
    for news in ("first", "second", "third"):
        owed.tell(news)
    assert told == ["first", "second"]
