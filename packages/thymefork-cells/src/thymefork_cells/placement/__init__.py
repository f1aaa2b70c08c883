"""Placing: which tasks start next, and on which workers."""

from .gang_choice import workers_for_gang
from .placer import Placer
from .placing_notes import PlacingNotes
from .preemptor import Preemptor
from .reservations import Reservations
from .speed_fit import SpeedFit
from .starvation import starved_ms
from .step_order import StepOrder
from .trials import APART_AFTER, Trials
from .worker_choice import WorkerRanking, best_hall, copies_in, fit_score, fits_labels

__all__ = [
    "APART_AFTER",
    "Placer",
    "PlacingNotes",
    "Preemptor",
    "Reservations",
    "SpeedFit",
    "StepOrder",
    "Trials",
    "WorkerRanking",
    "best_hall",
    "copies_in",
    "fit_score",
    "fits_labels",
    "starved_ms",
    "workers_for_gang",
]
