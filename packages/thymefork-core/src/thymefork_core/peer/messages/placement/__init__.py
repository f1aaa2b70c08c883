"""Asking an owner for room."""

from .commit import Commit
from .place import Place
from .place_item import PlaceItem
from .place_reply import PlaceReply
from .release import Release

__all__ = ["Commit", "Place", "PlaceItem", "PlaceReply", "Release"]
