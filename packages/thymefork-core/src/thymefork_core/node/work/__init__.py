"""The home's roles: taking work in, keeping it, and answering for it."""

from .gangs import Gangs
from .home import Home
from .intake import Intake
from .standing import Standing

__all__ = ["Gangs", "Home", "Intake", "Standing"]
