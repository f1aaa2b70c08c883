"""Tests of the adaptive timeout."""

import pytest

from thymefork_net import AdaptiveTimeout


@pytest.fixture
def adaptive_timeout():
    return AdaptiveTimeout(initial_ms=4.0, factor=10.0, min_ms=60.0, max_ms=300.0)


def test_fast_answers_keep_the_minimum_timeout(adaptive_timeout):
    for _ in range(20):
        adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.timeout_ms == 60.0


def test_slow_answer_raises_the_timeout_which_then_decays(adaptive_timeout):
    adaptive_timeout.record_answer_time(20.0)
    assert adaptive_timeout.timeout_ms == 200.0
    adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.timeout_ms == 180.0
    for _ in range(20):
        adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.timeout_ms == 60.0


def test_consecutive_unanswered_calls_raise_the_timeout_to_its_maximum(
    adaptive_timeout,
):
    for _ in range(9):
        adaptive_timeout.record_unanswered()
    assert adaptive_timeout.timeout_ms == 300.0
    adaptive_timeout.record_answer_time(3.0)
    assert adaptive_timeout.timeout_ms == 60.0
