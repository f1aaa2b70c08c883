"""How long answers are waited for."""

import pytest

from thymefork_net import AdaptiveTimeout


@pytest.fixture
def adaptive_timeout():
    return AdaptiveTimeout(initial_ms=4.0, factor=10.0, min_ms=60.0, max_ms=300.0)


def test_quick_answers_keep_the_patience_short(adaptive_timeout):
    for _ in range(20):
        adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.patience_ms == 60.0


def test_a_slow_answer_is_followed_at_once_and_forgotten_slowly(adaptive_timeout):
    adaptive_timeout.record_answer_time(20.0)
    assert adaptive_timeout.patience_ms == 200.0
    adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.patience_ms == 180.0
    for _ in range(20):
        adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.patience_ms == 60.0


def test_silence_in_a_row_makes_it_longer_up_to_the_bound(adaptive_timeout):
    for _ in range(9):
        adaptive_timeout.record_unanswered()
    assert adaptive_timeout.patience_ms == 300.0
    adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.patience_ms == 60.0
