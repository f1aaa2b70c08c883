"""Bind every feature file to its steps."""

from pytest_bdd import scenarios

from .steps_answers import *  # noqa: F403 - steps are found by their names
from .steps_configuration import *  # noqa: F403 - steps are found by their names
from .steps_instances import *  # noqa: F403
from .steps_lookups import *  # noqa: F403
from .steps_members import *  # noqa: F403
from .steps_platform import *  # noqa: F403
from .steps_work import *  # noqa: F403

scenarios(".")
