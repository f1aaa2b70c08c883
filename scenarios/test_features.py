"""Bind every feature file to its steps."""

from pytest_bdd import scenarios

from .steps_configuration import *  # noqa: F403 - steps are found by their names
from .steps_members import *  # noqa: F403
from .steps_work import *  # noqa: F403

scenarios(".")
