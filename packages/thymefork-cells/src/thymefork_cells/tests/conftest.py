"""Fixtures for cell tests."""

import pytest

from .harness import Harness


@pytest.fixture
def harness():
    harness = Harness()
    harness.take_over()
    harness.run(50)
    return harness


@pytest.fixture
def make_harness():
    def make(**fields):
        harness = Harness(**fields)
        harness.take_over()
        harness.run(50)
        return harness

    return make
